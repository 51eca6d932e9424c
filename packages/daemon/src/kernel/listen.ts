/** Opening and closing of HTTP listeners. */
import type {Server} from 'node:http';
import {isIPv6, type AddressInfo} from 'node:net';
import {addressSchema, type Address} from '@cairnbank/core';
import {err, ok, type Result} from 'neverthrow';
import type {ListenAddress} from '../settings/listen-address.js';
import type {StartError} from './start-error.js';

/** Starts listening; the port is the one really taken where 0 was asked for. */
export async function listen(server: Server, name: string, address: ListenAddress): Promise<Result<AddressInfo, StartError>> {
	return new Promise(resolve => {
		server.once('error', error => {
			resolve(err({type: 'cannot-listen', listener: name, message: error.message}));
		});
		server.listen({host: address.host, port: address.port, backlog: 4096}, () => {
			resolve(ok(server.address() as AddressInfo));
		});
	});
}

/** What others are told of a listener on `port`. */
export function reachableAddress({advertisedAddress, host}: ListenAddress, port: number): Address {
	return advertisedAddress ?? addressSchema.parse(`${isIPv6(host) ? `[${host}]` : host}:${port}`);
}

/** Stops accepting and closes idle connections; resolves once the last connection has ended. */
export async function closeServer(server: Server): Promise<void> {
	if (!server.listening) {
		return;
	}

	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
}
