/** Opens and closes HTTP listeners. */
import type {Server} from 'node:http';
import {isIPv6, type AddressInfo, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {addressSchema, type Address} from '@cairnbank/core';
import {discardFurtherBytes} from '@cairnbank/core/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {ListenAddress} from '../settings/listen-address.js';
import type {StartError} from './start-error.js';

/** Turns of the event loop in which nothing came, after which nothing more is taken to have arrived. */
const quietTurns = 3;

/**
 * @property arrivals - number of connections and requests so far
 * @property isOver - whether connections end whatever is left on them
 */
type Traffic = {readonly sockets: Set<Socket>; arrivals: number; isOver: boolean};

const trafficOf = new WeakMap<Server, Traffic>();

/** Starts listening. If the address has port 0, the result contains the port that the operating system assigned. */
export async function listen(server: Server, name: string, address: ListenAddress): Promise<Result<AddressInfo, StartError>> {
	trackTraffic(server);
	return new Promise(resolve => {
		server.once('error', error => {
			resolve(err({type: 'cannot-listen', listener: name, message: error.message}));
		});
		server.listen({host: address.host, port: address.port, backlog: 4096}, () => {
			resolve(ok(server.address() as AddressInfo));
		});
	});
}

/** Returns the address under which other processes reach a listener on `port`. */
export function toAdvertisedAddress({advertisedAddress, host}: ListenAddress, port: number): Address {
	return advertisedAddress ?? addressSchema.parse(`${isIPv6(host) ? `[${host}]` : host}:${port}`);
}

/**
 * Stops accepting connections and resolves once the last one has ended.
 *
 * Requests that have already arrived are served. Connections without a request in progress are closed immediately. A connection whose request has begun to arrive may complete it within
 * `graceMs` and is closed after that, because a closed server no longer enforces its own timeouts.
 */
export async function closeServer(server: Server, graceMs: number): Promise<void> {
	if (!server.listening) {
		return;
	}

	await readArrived(server, graceMs);

	const closed = new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	server.closeIdleConnections();
	closeUnusedConnections(server);
	const timer = setTimeout(() => {
		const traffic = trafficOf.get(server);
		if (traffic !== undefined) {
			traffic.isOver = true;
		}

		server.closeAllConnections();
	}, graceMs);
	await closed;
	clearTimeout(timer);
}

/** Resolves once what has already arrived is read, or after `maximumMs`. The runtime accepts one connection in each turn of its event loop. */
async function readArrived(server: Server, maximumMs: number): Promise<void> {
	const traffic = trafficOf.get(server);
	const end = AbortSignal.timeout(maximumMs);
	let before = traffic?.arrivals;
	for (let quiet = 0; quiet < quietTurns && !end.aborted; quiet++) {
		await nextTurn();
		if (traffic?.arrivals !== before) {
			before = traffic?.arrivals;
			quiet = -1;
		}
	}
}

/** Closes connections on which no byte was ever received, because `closeIdleConnections` treats them as active. */
function closeUnusedConnections(server: Server): void {
	for (const socket of trafficOf.get(server)?.sockets ?? []) {
		if (socket.bytesRead === 0) {
			socket.destroy();
		}
	}
}

function trackTraffic(server: Server): void {
	const traffic: Traffic = {sockets: new Set(), arrivals: 0, isOver: false};
	trafficOf.set(server, traffic);
	server.on('connection', socket => {
		traffic.arrivals += 1;
		traffic.sockets.add(socket);
		// The server calls it once the last answer is written.
		socket.destroySoon = () => {
			closeGracefully(socket, traffic, server.keepAliveTimeout);
		};

		socket.once('close', () => traffic.sockets.delete(socket));
	});
	server.on('request', () => {
		traffic.arrivals += 1;
	});
}

/**
 * Ends the sending side of a socket and reads on without parsing until the other side closes, or has had time to: closing with unread bytes
 * resets the connection, and the other side loses answers that it has not read.
 *
 * @param lingerMs - time for which an idle connection may stay open
 */
function closeGracefully(socket: Socket, traffic: Traffic, lingerMs: number): void {
	if (socket.destroyed || socket.writableEnded) {
		return;
	}

	socket.end();
	discardFurtherBytes(socket);
	const destroy = socket.destroy.bind(socket);
	const timer = setTimeout(destroy, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
	// The server takes the connection for idle and would destroy it as the server closes.
	socket.destroy = error => error === undefined && !socket.readableEnded && !traffic.isOver ? socket : destroy(error);
}
