/** Transfer of the configuration between daemons, for when the log no longer has all the records needed. */
import {configurationTransferSchema, type ConfigurationTransfer} from '../operators/configuration-transfer.js';
import {peerTrpc} from './peer-trpc.js';

export type ConfigurationHandler = {
	/** Returns the whole configuration in force, or `undefined` if there is none. */
	transfer(): ConfigurationTransfer | undefined;
};

export function createConfigurationRouter(handler: ConfigurationHandler) {
	return peerTrpc.router({
		get: peerTrpc.procedure
			.output(configurationTransferSchema.optional())
			.query((): ConfigurationTransfer | undefined => handler.transfer()),
	});
}
