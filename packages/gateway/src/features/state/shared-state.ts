/** State that one instance hands over to another, as plain data that is sent as JSON. */
import type {GatewayConfiguration} from '@cairnbank/core/routes';
import type {
	KeyedChange, KeyedChanges, RegisteredUpstream, StoreEpoch,
} from '@cairnbank/core/registry';

/** Query of an instance for the state that is newer than its own. */
export type StateQuery = {
	readonly configurationVersion: number;
	readonly wantsRegistry: boolean;
	/** Epoch of the store to which `registryOffset` belongs. */
	readonly epoch: StoreEpoch;
	/** Registry records up to this offset (exclusive) are known; absent if all of them are needed. */
	readonly registryOffset?: number;
};

/** Answer to a `StateQuery`. */
export type SharedState = {
	/** Epoch of the store to which all offsets in it belong. */
	readonly epoch: StoreEpoch;
	readonly configuration?: GatewayConfiguration;
	/** Set if `configuration` needs no accounts. Instances that don't know of accounts leave out both, whatever operators have published. */
	readonly hasNoAccounts?: true;
	/** Changes of the registry since the queried offset, instead of the whole `registry`. */
	readonly changes?: KeyedChanges<RegisteredUpstream>;
	readonly registry?: {
		readonly endOffset: number;
		readonly records: ReadonlyArray<KeyedChange<RegisteredUpstream>>;
	};
};

export function shareConfiguration(configuration: GatewayConfiguration): Pick<SharedState, 'configuration' | 'hasNoAccounts'> {
	return configuration.accounts === undefined ? {configuration, hasNoAccounts: true} : {configuration};
}

/** Whether it is certain if callers need an account; otherwise an instance would serve everyone without one. */
export function hasKnownAccounts({configuration, hasNoAccounts}: SharedState): boolean {
	return configuration?.accounts !== undefined || hasNoAccounts === true;
}
