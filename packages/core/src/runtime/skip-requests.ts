/** Drops requests of a connection before objects are created for them. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Makes the parser treat what follows as another protocol, so that it skips the rest of what it has read. */
const skipRest = 2;

type OnIncoming = (request: IncomingMessage, shouldKeepAlive: boolean) => number;

/**
 * Skips requests for as long as the condition holds. The server itself reads on to the end of a part of 64 KiB, even on a connection that was
 * destroyed meanwhile; a part may hold 2,500 short requests, which take 10 MB together until the connection is closed. Without the parser's
 * hook, which the runtime doesn't document, all of them are read.
 */
export function skipRequestsIf(socket: Socket, shouldSkip: () => boolean): void {
	const {parser} = socket as Socket & {readonly parser?: {onIncoming?: OnIncoming | undefined} | undefined};
	const onIncoming = parser?.onIncoming;
	if (parser === undefined || typeof onIncoming !== 'function') {
		return;
	}

	parser.onIncoming = (request, shouldKeepAlive) => shouldSkip() ? skipRest : onIncoming(request, shouldKeepAlive);
}
