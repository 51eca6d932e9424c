export {
	changeRecordSchema, configurationRecordSchema, configurationStream, snapshotRecordSchema,
	type ChangeRecord, type ConfigurationRecord, type SnapshotRecord,
} from '@cairnbank/core/configuration';
