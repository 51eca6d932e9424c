/** The configuration in force after a prefix of the log, folded the same way by every reader. */
import {inventorySchema, type Inventory} from '../model/inventory.js';
import {defaultRules, type Rules} from '../model/rules.js';
import {type UpstreamId} from '../model/ids.js';
import {type AcceptedChange} from './accepted-change.js';
import {type ChangeKey} from './change-key.js';
import {type RecentChange} from './recent-change.js';

export type ConfigurationState = {
	/** Offset of the last record that was folded in, accepted or not. */
	readonly throughOffset: number;
	/** Offset of the last accepted change; 0 before the first. */
	readonly acceptedOffset: number;
	readonly inventory: Inventory;
	readonly rules: Rules;
	/** Upstreams that operators took out of new work. */
	readonly drained: ReadonlySet<UpstreamId>;
	/** The change that last set each key; a drain key exists while its upstream does. */
	readonly lastAcceptedByKey: ReadonlyMap<ChangeKey, AcceptedChange>;
	/** Changes folded last, oldest first; at most {@link maximumRecentChanges}. */
	readonly recentChanges: readonly RecentChange[];
};

/** What is in force before the first record of the log. */
export const initialConfiguration: ConfigurationState = {
	throughOffset: 0,
	acceptedOffset: 0,
	inventory: inventorySchema.parse({kind: 'inventory', services: []}),
	rules: defaultRules,
	drained: new Set(),
	lastAcceptedByKey: new Map(),
	recentChanges: [],
};
