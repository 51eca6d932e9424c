/** The configuration in force after a prefix of the log. Every reader derives the same state from the same prefix. */
import {inventorySchema, type Inventory} from '../model/inventory.js';
import {defaultRules, type Rules} from '../model/rules.js';
import {type UpstreamId} from '../model/ids.js';
import {type AcceptedChange} from './accepted-change.js';
import {type ChangeKey} from './change-key.js';
import {type RecentChange} from './recent-change.js';

export type ConfigurationState = {
	/** Offset of the last applied record, whether its change was accepted or not. */
	readonly throughOffset: number;
	/** Offset of the last accepted change; 0 before the first. */
	readonly acceptedOffset: number;
	readonly inventory: Inventory;
	readonly rules: Rules;
	/** Upstreams that operators have drained: they get no new requests. */
	readonly drained: ReadonlySet<UpstreamId>;
	/** The change that last set each key. The drain key of an upstream exists as long as the inventory lists the upstream. */
	readonly lastAcceptedByKey: ReadonlyMap<ChangeKey, AcceptedChange>;
	/** The changes applied last, oldest first; at most {@link maximumRecentChanges}. */
	readonly recentChanges: readonly RecentChange[];
};

/** Configuration in force before the first record of the log. */
export const initialConfiguration: ConfigurationState = {
	throughOffset: 0,
	acceptedOffset: 0,
	inventory: inventorySchema.parse({kind: 'inventory', services: []}),
	rules: defaultRules,
	drained: new Set(),
	lastAcceptedByKey: new Map(),
	recentChanges: [],
};
