/** Closes a connection so that its caller gets all that was written. */
import type {Socket} from 'node:net';

/** Time for which the caller's end of a closing connection is awaited after the last answer has been handed to the socket. */
const lingerMs = 1000;

/** Reads on without parsing, so that requests that never start need no memory and the caller's end is noticed. Called once for a socket. */
export function discardFurtherBytes(socket: Socket): void {
	// The parser must not be detached while it runs.
	setImmediate(() => {
		// Adding a listener detaches the parser from the socket; removing all then also removes the parser's own.
		socket.on('data', () => undefined);
		socket.removeAllListeners('data');
		socket.on('data', () => undefined);
		socket.resume();
	});
}

/**
 * Ends the sending side of a socket that reads on, and destroys it once the caller closes its side too, or has had time to: closing with
 * unread bytes resets the connection, and the caller loses answers that it has not read.
 */
export function closeGracefully(socket: Socket): void {
	socket.end();
	const destroy = socket.destroy.bind(socket);
	const timer = setTimeout(destroy, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
	// The server takes the connection for idle and would destroy it as the server closes.
	socket.destroy = error => error === undefined && !socket.readableEnded ? socket : destroy(error);
}
