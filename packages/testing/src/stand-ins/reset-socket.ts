/** Resets a connection, as the crash of a process does. */
import type {Socket} from 'node:net';

/**
 * Resets the connection, or destroys the socket if its shutdown has started: Node.js cannot reset a socket
 * during its shutdown; it would never close the handle and would busy-loop when the process ends.
 */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
