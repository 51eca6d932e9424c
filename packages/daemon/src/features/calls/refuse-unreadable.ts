/** Refusals of what cannot be read as a request, written to the bare connection. */
import type {Socket} from 'node:net';
import {headerNames} from '@cairnbank/protocol/headers';

const headerOverflow = 'HPE_HEADER_OVERFLOW';

function toRawResponse(status: string): string {
	return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n${headerNames.outcome}: not-run\r\n\r\n`;
}

const badRequest = toRawResponse('400 Bad Request');
const headersTooLarge = toRawResponse('431 Request Header Fields Too Large');

/**
 * @param mayBeRunning Whether an earlier request of the connection may be running. The refusal would be read as its answer,
 * so the connection is broken off without one.
 */
export function refuseUnreadable(socket: Socket, mayBeRunning: boolean, errorCode?: string): void {
	if (mayBeRunning || !socket.writable) {
		socket.destroy();
		return;
	}

	socket.end(errorCode === headerOverflow ? headersTooLarge : badRequest);
}
