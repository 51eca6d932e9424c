/** Closes the connections of a server that have been idle for its keep-alive time. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {waitTurns} from './arrivals.js';

/** Turns of the event loop in which what has arrived is read. */
const turnsToRead = 2;

/** Keeps a connection on which something has arrived in time; the server itself would reset it unread. */
export function closeIdleConnectionsOnceRead(server: Server): void {
	server.on('timeout', (socket: Socket) => {
		void closeUnlessUsed(socket);
	});
}

async function closeUnlessUsed(socket: Socket): Promise<void> {
	const {bytesRead} = socket;
	await waitTurns(turnsToRead);
	if (socket.bytesRead === bytesRead && !socket.isPaused()) {
		socket.destroy();
	}
}
