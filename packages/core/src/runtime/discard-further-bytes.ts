/** Reads a connection on without parsing. */
import type {Socket} from 'node:net';

/** Reads on without parsing, so that requests that never start need no memory and the caller's end is noticed. */
export function discardFurtherBytes(socket: Socket): void {
	// The parser must not be detached while it runs.
	setImmediate(() => {
		// Adding a listener detaches the parser from the socket; removing all then also removes the parser's own.
		socket.on('data', () => undefined);
		socket.removeAllListeners('data');
		socket.on('data', () => undefined);
		socket.resume();
		// Ends the read that the parser may have paused, so that the stream begins another one.
		socket.push('');
	});
}
