/** HTTP connections of one control channel, with their bytes counted. */
import {Agent, buildConnector} from 'undici';
import type {ControlBytes, ControlChannel} from './control-bytes.js';

export type ControlAgentOptions = {
	readonly connectTimeoutMs: number;
	/** Connections to one address at a time. */
	readonly connections: number;
	/** How long an idle connection stays open; undici's own default where absent. */
	readonly keepAliveTimeoutMs?: number;
};

/** An agent whose sockets count as `channel`. */
export function createControlAgent(bytes: ControlBytes, channel: ControlChannel, options: ControlAgentOptions): Agent {
	const connect = buildConnector({timeout: options.connectTimeoutMs});
	return new Agent({
		connections: options.connections,
		pipelining: 1,
		...(options.keepAliveTimeoutMs !== undefined && {keepAliveTimeout: options.keepAliveTimeoutMs}),
		connect(target, callback) {
			connect(target, (error, socket) => {
				if (error) {
					callback(error, null);
					return;
				}

				bytes.track(channel, socket);
				callback(null, socket);
			});
		},
	});
}
