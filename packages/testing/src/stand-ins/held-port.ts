/** Keeps a port from other programs on this machine while its user does not listen on it. */
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** Address at which programs on this machine are assigned ports, as servers and as clients. */
const commonHost = '127.0.0.1';

/** Address at which the user of a held port listens; no program is assigned ports there. */
export const heldPortHost = '127.0.2.1';

/** Holds a free port at {@link commonHost} until the process ends, and resolves with it; it can be listened on at {@link heldPortHost}. */
export async function holdPort(): Promise<number> {
	const server = createServer(socket => {
		socket.destroy();
	});
	server.listen(0, commonHost);
	await once(server, 'listening');
	server.unref();
	return (server.address() as AddressInfo).port;
}
