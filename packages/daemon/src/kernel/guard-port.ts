/** Bounds the connections of a port, and the requests on each of them whose answers are due. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {PortGuard} from '@cairnbank/core/runtime';
import type {DaemonContext} from './daemon-context.js';

const logIntervalMs = 1000;

export type PortLimit = {
	/** Name of the port in the log. */
	readonly listener: string;
	readonly maximumConnections: number;
	/** Returns whether a connection with open requests may be ended, as none of them runs. */
	readonly mayEnd?: (socket: Socket) => boolean;
};

/** Creates the guard of a port; it logs once in a while, as there may be thousands of connections to end. */
export function createPortGuard(server: Server, {clock, logger}: Pick<DaemonContext, 'clock' | 'logger'>, {listener, maximumConnections, mayEnd}: PortLimit): PortGuard {
	let loggedAtMs = Number.NEGATIVE_INFINITY;
	return new PortGuard(server, {
		maximumConnections,
		...(mayEnd === undefined ? {} : {mayEnd}),
		onTooMany() {
			const nowMs = clock.monotonicMs();
			if (nowMs - loggedAtMs >= logIntervalMs) {
				loggedAtMs = nowMs;
				logger.warn('connection ended, as there are too many', {listener, maximumConnections});
			}
		},
	});
}

/** Bounds a port whose requests are all answered. */
export function guardPort(server: Server, context: Pick<DaemonContext, 'clock' | 'logger'>, limit: PortLimit): void {
	const guard = createPortGuard(server, context, limit);
	server.on('request', (request, response) => {
		guard.received(request.socket, response);
	});
}
