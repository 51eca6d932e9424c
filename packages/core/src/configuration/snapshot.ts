/** Snapshots: the whole state in one record, used only if its hash matches. */
import {err, ok, type Result} from 'neverthrow';
import {type RecordId} from '../model/ids.js';
import {toValidationFaults, type ValidationFault} from '../model/validation-fault.js';
import {type SnapshotRecord} from './configuration-record.js';
import {type ConfigurationState} from './configuration-state.js';
import {
	hashStoredConfiguration, restoreConfiguration, storeConfiguration, storedConfigurationSchema,
} from './stored-configuration.js';

/** Creates a snapshot record of `state`. */
export function createSnapshot(state: ConfigurationState, id: RecordId): SnapshotRecord {
	const stored = storeConfiguration(state);
	return {
		type: 'snapshot',
		id,
		throughOffset: state.throughOffset,
		hash: hashStoredConfiguration(stored),
		state: stored,
	};
}

/** A state in transfer, with the hash and offset that it is verified with. */
export type StateTransfer = Pick<SnapshotRecord, 'throughOffset' | 'hash'> & {
	readonly state?: unknown;
};

/** Returns the state in a snapshot or in a peer's transfer if its hash, schema and offset are valid. */
export function verifySnapshot(snapshot: StateTransfer): Result<ConfigurationState, readonly ValidationFault[]> {
	if (hashStoredConfiguration(snapshot.state) !== snapshot.hash) {
		return err([{path: 'hash', message: 'does not match the state'}]);
	}

	const parsed = storedConfigurationSchema.safeParse(snapshot.state);
	if (!parsed.success) {
		return err(toValidationFaults(parsed.error));
	}

	if (parsed.data.throughOffset !== snapshot.throughOffset) {
		return err([{path: 'throughOffset', message: 'does not match the state'}]);
	}

	return ok(restoreConfiguration(parsed.data));
}
