/** Reserves port numbers that all instances of a case share, each at an address of its own. */
import {once} from 'node:events';
import {createServer} from 'node:net';

/** Holds the ports at 127.0.0.1, so that no other process is given them, while instances listen at 127.0.0.2 and the following addresses. */
export async function reservePorts(count) {
	const servers = Array.from({length: count}, () => createServer().listen(0, '127.0.0.1'));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	return {
		numbers: servers.map(server => server.address().port),
		release() {
			for (const server of servers) {
				server.close();
			}
		},
	};
}
