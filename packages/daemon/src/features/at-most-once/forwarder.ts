/** Passes a send on to the process that holds its table. Whatever fails on the way leaves the outcome unknown. */
import type {Address, Clock, IncarnationId} from '@cairnbank/core';
import {unknown, type Outcome} from '@cairnbank/core/outcomes';
import {
	encodeBytes, forwardAnswerSchema, fromOutcomeMessage, type ForwardAnswer, type ForwardedCall,
} from '@cairnbank/protocol/at-most-once';
import type {HopSpan} from '../../tracing/call-trace.js';
import type {PeerClients} from '../peers/peer-clients.js';
import type {BoundCall} from './bound-call.js';
import type {OwnerDirectory} from './owner-directory.js';

/** A table may have been handed over this many times in a row. */
const maximumHops = 3;
/** Left of the deadline for the owner's answer to come back. */
const answerAllowanceMs = 5;

export type ForwarderParts = {
	readonly clock: Clock;
	readonly peers: PeerClients;
	readonly directory: OwnerDirectory;
};

export class Forwarder {
	readonly #parts: ForwarderParts;

	constructor(parts: ForwarderParts) {
		this.#parts = parts;
	}

	/** @param owner - the process that issued the ticket or claimed the key; its successor may hold the table */
	async forward(send: BoundCall, owner: IncarnationId): Promise<Outcome> {
		return this.forwardTo(send, owner, owner);
	}

	/** @param holder - the process that is known to hold the owner's table */
	async forwardTo(send: BoundCall, owner: IncarnationId, holder: IncarnationId): Promise<Outcome> {
		const hop = send.call.trace.hop('forward', {owner});
		const outcome = await this.#follow(send, owner, holder, hop);
		hop.end(outcome.type);
		return outcome;
	}

	async #follow(send: BoundCall, owner: IncarnationId, firstHolder: IncarnationId, hop: HopSpan): Promise<Outcome> {
		let holder = firstHolder;
		for (let hops = 0; hops < maximumHops; hops += 1) {
			const address = this.#parts.directory.holderAddressOf(holder);
			if (!address) {
				return unknown('owner-gone');
			}

			const answer = await this.#ask(address, this.#toMessage(send, owner, hop));
			switch (answer?.type) {
				case undefined: {
					return unknown('owner-unreachable');
				}

				case 'ended': {
					return fromOutcomeMessage(answer.outcome);
				}

				case 'not-owner': {
					return unknown('owner-gone');
				}

				case 'moved': {
					holder = answer.successor;
				}
			}
		}

		return unknown('owner-unreachable');
	}

	/** Asks once: the owner's table makes a second ask harmless, but nothing is gained by it. */
	async #ask(address: Address, message: ForwardedCall): Promise<ForwardAnswer | undefined> {
		const answer = await this.#parts.peers.call(address, Math.ceil(message.remainingMs) + answerAllowanceMs, async (peer, signal) =>
			peer.atMostOnce.forward.mutate(message, {signal}));
		const parsed = answer.isOk() ? forwardAnswerSchema.safeParse(answer.value) : undefined;
		return parsed?.data;
	}

	#toMessage({call, binding}: BoundCall, owner: IncarnationId, hop: HopSpan): ForwardedCall {
		return {
			owner,
			binding,
			previousAttempts: call.previousAttempts,
			service: call.serviceId,
			method: call.method,
			path: call.path,
			headers: [...call.headers],
			body: call.body && encodeBytes(call.body),
			tenant: call.tenant,
			remainingMs: Math.max(0, call.deadlineAtMs - this.#parts.clock.monotonicMs() - answerAllowanceMs),
			traceparent: hop.headers.traceparent,
			tracestate: hop.headers.tracestate,
		};
	}
}
