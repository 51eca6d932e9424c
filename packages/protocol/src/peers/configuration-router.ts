/** Hand-over of the configuration between daemons, for when the log cannot tell it. */
import {configurationTransferSchema, type ConfigurationTransfer} from '../operators/configuration-transfer.js';
import {peerTrpc} from './peer-trpc.js';

export type ConfigurationHandler = {
	/** The whole configuration in force; absent while there is none. */
	transfer(): ConfigurationTransfer | undefined;
};

export function createConfigurationRouter(handler: ConfigurationHandler) {
	return peerTrpc.router({
		get: peerTrpc.procedure
			.output(configurationTransferSchema.optional())
			.query((): ConfigurationTransfer | undefined => handler.transfer()),
	});
}
