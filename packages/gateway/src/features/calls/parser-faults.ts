/** Answers to bytes that the HTTP parser does not accept as a request. */
import {STATUS_CODES} from 'node:http';

const badRequestStatus = 400;
/** Statuses for faults of the HTTP parser; all others are bad requests. */
const faultStatuses: Readonly<Record<string, number>> = {
	HPE_HEADER_OVERFLOW: 431,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
	ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Returns the status for a fault, given its code in Node.js. */
export function statusOfFault(code: string): number {
	return faultStatuses[code] ?? badRequestStatus;
}

/** Returns an answer that closes the connection. */
export function answerToFault(status: number): string {
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
