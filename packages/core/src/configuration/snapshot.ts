/** Snapshots: the whole state in one record, trusted only if its hash fits. */
import {err, ok, type Result} from 'neverthrow';
import {type RecordId} from '../model/ids.js';
import {toValidationFaults, type ValidationFault} from '../model/validation-fault.js';
import {type SnapshotRecord} from './configuration-record.js';
import {type ConfigurationState} from './configuration-state.js';
import {
	hashStoredConfiguration, restoreConfiguration, storeConfiguration, storedConfigurationSchema,
} from './stored-configuration.js';

/** A record that carries `state`. */
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

/** A state on its way, with what proves it whole. */
export type StateTransfer = Pick<SnapshotRecord, 'throughOffset' | 'hash'> & {
	readonly state?: unknown;
};

/** The state inside a snapshot or a peer's transfer, after its hash, offset and shape were checked. */
export function verifySnapshot(snapshot: StateTransfer): Result<ConfigurationState, readonly ValidationFault[]> {
	if (hashStoredConfiguration(snapshot.state) !== snapshot.hash) {
		return err([{path: 'hash', message: 'does not fit the state'}]);
	}

	const parsed = storedConfigurationSchema.safeParse(snapshot.state);
	if (!parsed.success) {
		return err(toValidationFaults(parsed.error));
	}

	if (parsed.data.throughOffset !== snapshot.throughOffset) {
		return err([{path: 'throughOffset', message: 'does not fit the state'}]);
	}

	return ok(restoreConfiguration(parsed.data));
}
