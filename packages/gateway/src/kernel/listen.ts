/** Opening of listeners. */
import type {Server} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import type {StartError} from './start-error.js';

/** Connections that wait to be accepted: after an instance's start many callers connect at the same moment. */
const backlog = 1024;

/** @param address - `IP:port`; port 0 takes any free one */
export async function listen(server: Server, listener: string, address: string): Promise<Result<void, StartError>> {
	const {host, port} = splitAddress(address);
	return new Promise(resolve => {
		server.once('error', error => {
			resolve(err({type: 'cannot-listen', listener, message: error.message}));
		});
		server.listen({host, port, backlog}, () => {
			resolve(ok(undefined));
		});
	});
}

export function splitAddress(address: string): {host: string; port: number} {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}
