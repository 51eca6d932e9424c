/** Creates HTTP agents for control channels and counts the bytes of their connections. */
import {Agent, buildConnector} from 'undici';
import type {ControlBytes, ControlChannel} from './control-bytes.js';

export type ControlAgentOptions = {
	readonly connectTimeoutMs: number;
	/** Maximum number of connections to one address. */
	readonly connections: number;
	/** Idle time after which a connection is closed. Defaults to the timeout of undici. */
	readonly keepAliveTimeoutMs?: number;
};

/** Creates an agent whose sockets are counted under `channel`. */
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
