/** Refuses input that cannot be parsed as a request, with an answer that is written directly to the socket. */
import type {Socket} from 'node:net';
import {headerNames} from '@cairnbank/protocol/headers';

const headerOverflow = 'HPE_HEADER_OVERFLOW';

function toRawResponse(status: string): string {
	return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n${headerNames.outcome}: not-run\r\n\r\n`;
}

const badRequest = toRawResponse('400 Bad Request');
const headersTooLarge = toRawResponse('431 Request Header Fields Too Large');

/** Refuses unreadable input and closes the connection. */
export function refuseUnreadable(socket: Socket, errorCode?: string): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	socket.end(errorCode === headerOverflow ? headersTooLarge : badRequest);
}
