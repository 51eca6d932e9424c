/** What makes a call of the demo run at most once: a ticket of the instance, or a key of the caller's own. */
import type {RandomSource} from '@cairnbank/core';
import {headerNames} from '@cairnbank/protocol';
import {issuedTicketSchema, ticketPath} from '@cairnbank/protocol/at-most-once';
import {v7 as uuid} from 'uuid';
import type {Caller} from '../harness/caller.js';

export type AtMostOnceGuard = {
	readonly kind: 'ticket' | 'key';
	/** Sent with the call and with each of its resends. */
	readonly headers: Readonly<Record<string, string>>;
};

const ticketShare = 0.5;

/** Half of the calls use a ticket where the instance issues one; all others a key. */
export async function acquireGuard(caller: Caller, instance: string, random: RandomSource): Promise<AtMostOnceGuard> {
	const ticket = random.next() < ticketShare ? await requestTicket(caller, instance) : undefined;
	return ticket === undefined
		? {kind: 'key', headers: {[headerNames.idempotencyKey]: uuid()}}
		: {kind: 'ticket', headers: {[headerNames.ticket]: ticket}};
}

async function requestTicket(caller: Caller, instance: string): Promise<string | undefined> {
	const told = await caller.call({instance, path: ticketPath, method: 'POST'});
	return told.type === 'answered' && told.statusCode < 300
		? issuedTicketSchema.parse(JSON.parse(told.body)).ticket
		: undefined;
}
