/** Request headers that an upstream stand-in reads. */
import type {IncomingMessage} from 'node:http';
import {headerNames} from '@cairnbank/protocol';

/** Service time of the request in milliseconds, in place of the seeded one. */
export const serviceMsHeader = 'x-service-ms';
/** Availability zone of the entry instance that forwarded the request. */
export const entryZoneHeader = 'x-entry-zone';

function readNumber(request: IncomingMessage, name: string): number | undefined {
	const text = request.headers[name];
	return text === undefined ? undefined : Number(text);
}

export function serviceMsOf(request: IncomingMessage): number | undefined {
	return readNumber(request, serviceMsHeader);
}

/** Returns the time until the request's deadline in milliseconds; infinite if the request has none. */
export function remainingMsOf(request: IncomingMessage): number {
	return readNumber(request, headerNames.deadlineMs) ?? Number.POSITIVE_INFINITY;
}

export function crossesZones(request: IncomingMessage, availabilityZone: string): boolean {
	return (request.headers[entryZoneHeader] ?? availabilityZone) !== availabilityZone;
}
