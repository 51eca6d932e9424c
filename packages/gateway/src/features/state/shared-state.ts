/** State that one instance hands to another; plain data. */
import type {GatewayConfiguration} from '@cairnbank/core/routes';
import type {KeyedChange, RegisteredUpstream} from '@cairnbank/core/registry';

/** What an instance asks for: only what is newer than its own. */
export type StateQuery = {
	readonly configurationVersion: number;
	readonly wantsRegistry: boolean;
};

export type SharedState = {
	readonly configuration?: GatewayConfiguration;
	readonly registry?: {
		readonly endOffset: number;
		readonly records: ReadonlyArray<KeyedChange<RegisteredUpstream>>;
	};
};
