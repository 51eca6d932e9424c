/** Makes a call of the demo run at most once, with a ticket from the instance or an idempotency key from the caller. */
import type {RandomSource} from '@cairnbank/core';
import {headerNames} from '@cairnbank/protocol';
import {issuedTicketSchema, ticketPath} from '@cairnbank/protocol/at-most-once';
import {v7 as uuid} from 'uuid';
import type {Caller} from '../harness/caller.js';

export type AtMostOnceGuard = {
	readonly kind: 'ticket' | 'key';
	/** Headers of the call and of each of its retries. */
	readonly headers: Readonly<Record<string, string>>;
};

const ticketRatio = 0.5;

/** Uses a ticket for half of the calls, if the instance issues one, and an idempotency key for the others. */
export async function acquireGuard(caller: Caller, instance: string, random: RandomSource): Promise<AtMostOnceGuard> {
	const ticket = random.next() < ticketRatio ? await requestTicket(caller, instance) : undefined;
	return ticket === undefined
		? {kind: 'key', headers: {[headerNames.idempotencyKey]: uuid()}}
		: {kind: 'ticket', headers: {[headerNames.ticket]: ticket}};
}

async function requestTicket(caller: Caller, instance: string): Promise<string | undefined> {
	const response = await caller.call({instance, path: ticketPath, method: 'POST'});
	return response.type === 'answered' && response.statusCode < 300
		? issuedTicketSchema.parse(JSON.parse(response.body)).ticket
		: undefined;
}
