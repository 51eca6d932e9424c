/** State that one instance hands to another; plain data. */
import type {GatewayConfiguration} from '@cairnbank/core/routes';
import type {
	KeyedChange, KeyedChanges, RegisteredUpstream, StoreEpoch,
} from '@cairnbank/core/registry';

/** What an instance asks for: only what is newer than its own. */
export type StateQuery = {
	readonly configurationVersion: number;
	readonly wantsRegistry: boolean;
	/** To which the position below belongs. */
	readonly epoch: StoreEpoch;
	/** Records of the registry that it knows already; nothing where it needs all of them. */
	readonly registryOffset?: number;
};

export type SharedState = {
	/** To which all positions in it belong. */
	readonly epoch: StoreEpoch;
	readonly configuration?: GatewayConfiguration;
	/** What has changed in the registry, in place of all of it. */
	readonly changes?: KeyedChanges<RegisteredUpstream>;
	readonly registry?: {
		readonly endOffset: number;
		readonly records: ReadonlyArray<KeyedChange<RegisteredUpstream>>;
	};
};
