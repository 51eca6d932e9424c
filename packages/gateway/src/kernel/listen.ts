/** Opens listeners. */
import type {Server} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import type {StartError} from './start-error.js';

/** Maximum number of connections waiting to be accepted; many callers connect at once when an instance starts. */
const backlog = 1024;

/** @param address - `IP:port`; with port 0 the system chooses a free port */
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
