/** Headers that steer an upstream stand-in or describe it. */
import type {IncomingMessage} from 'node:http';
import {headerNames} from '@cairnbank/protocol';

/** Service time of this request, in place of the seeded one. */
export const serviceMsHeader = 'x-service-ms';
/** Availability zone of the entry instance that the request came through. */
export const entryZoneHeader = 'x-entry-zone';

function readNumber(request: IncomingMessage, name: string): number | undefined {
	const text = request.headers[name];
	return text === undefined ? undefined : Number(text);
}

export function serviceMsOf(request: IncomingMessage): number | undefined {
	return readNumber(request, serviceMsHeader);
}

/** Time that the request's deadline leaves, in milliseconds. */
export function remainingMsOf(request: IncomingMessage): number {
	return readNumber(request, headerNames.deadlineMs) ?? Number.POSITIVE_INFINITY;
}

export function crossesZones(request: IncomingMessage, availabilityZone: string): boolean {
	return (request.headers[entryZoneHeader] ?? availabilityZone) !== availabilityZone;
}
