/** The configuration state as JSON, for snapshots and for transfers between daemons. */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {authorSchema, recordIdSchema, upstreamIdSchema} from '../model/ids.js';
import {inventorySchema} from '../model/inventory.js';
import {rulesSchema} from '../model/rules.js';
import {type AcceptedChange} from './accepted-change.js';
import {canonicalJson} from './canonical-json.js';
import {type ChangeKey} from './change-key.js';
import {type ConfigurationState} from './configuration-state.js';
import {maximumRecentChanges, recentChangeSchema} from './recent-change.js';

const changeKeySchema = z.custom<ChangeKey>(value =>
	typeof value === 'string' && (value === 'inventory' || value === 'rules' || value.startsWith('drain:')));

const acceptedChangeSchema = z.strictObject({
	offset: z.int().min(1),
	id: recordIdSchema,
	author: authorSchema,
	/** Keys that were last set by this change. */
	keys: z.array(changeKeySchema).min(1),
});

export const storedConfigurationSchema = z.strictObject({
	throughOffset: z.int().min(0),
	acceptedOffset: z.int().min(0),
	inventory: inventorySchema,
	rules: rulesSchema,
	drained: z.array(upstreamIdSchema),
	acceptedChanges: z.array(acceptedChangeSchema),
	recentChanges: z.array(recentChangeSchema).max(maximumRecentChanges),
});

export type StoredConfiguration = z.infer<typeof storedConfigurationSchema>;

type StoredAcceptedChange = z.infer<typeof acceptedChangeSchema>;

function storeAcceptedChanges(byKey: ReadonlyMap<ChangeKey, AcceptedChange>): StoredAcceptedChange[] {
	const byOffset = new Map<number, StoredAcceptedChange>();
	for (const key of [...byKey.keys()].sort()) {
		const {offset, id, author} = byKey.get(key)!;
		const stored = byOffset.get(offset);
		if (stored === undefined) {
			byOffset.set(offset, {
				offset, id, author, keys: [key],
			});
		} else {
			stored.keys.push(key);
		}
	}

	return [...byOffset.values()].sort((left, right) => left.offset - right.offset);
}

/** Converts a state to JSON; equal states give equal JSON. */
export function storeConfiguration(state: ConfigurationState): StoredConfiguration {
	return {
		throughOffset: state.throughOffset,
		acceptedOffset: state.acceptedOffset,
		inventory: state.inventory,
		rules: state.rules,
		drained: [...state.drained].sort(),
		acceptedChanges: storeAcceptedChanges(state.lastAcceptedByKey),
		recentChanges: [...state.recentChanges],
	};
}

/** Converts the JSON form back to a state. */
export function restoreConfiguration(stored: StoredConfiguration): ConfigurationState {
	const byKey = new Map<ChangeKey, AcceptedChange>();
	for (const {keys, ...accepted} of stored.acceptedChanges) {
		for (const key of keys) {
			byKey.set(key, accepted);
		}
	}

	return {
		throughOffset: stored.throughOffset,
		acceptedOffset: stored.acceptedOffset,
		inventory: stored.inventory,
		rules: stored.rules,
		drained: new Set(stored.drained),
		lastAcceptedByKey: byKey,
		recentChanges: stored.recentChanges,
	};
}

/** Returns the SHA-256 hash of a stored state's canonical JSON, in hexadecimal. */
export function hashStoredConfiguration(stored: unknown): string {
	return createHash('sha256').update(canonicalJson(stored)).digest('hex');
}

/** Hashes the whole state, so that readers at the same offset can compare their states. */
export function hashConfiguration(state: ConfigurationState): string {
	return hashStoredConfiguration(storeConfiguration(state));
}

/** Hashes the parts of a state that affect calls. Readers with the same accepted offset get the same hash, however far they have read. */
export function hashConfigurationInForce({acceptedOffset, inventory, rules, drained}: ConfigurationState): string {
	return hashStoredConfiguration({
		acceptedOffset, inventory, rules, drained: [...drained].sort(),
	});
}
