/** Resetting a connection, as a crash does. */
import type {Socket} from 'node:net';

/**
 * Resets the connection, or closes it where its end is being sent: Node.js cannot reset a socket
 * within its shutdown, never closes its handle then, and spins when the process ends.
 */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
