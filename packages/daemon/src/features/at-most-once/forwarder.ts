/** Forwards a call to the process that holds its table. Any failure on the way results in the outcome `unknown`. */
import type {Address, Clock, IncarnationId} from '@cairnbank/core';
import {unknown, type Outcome} from '@cairnbank/core/outcomes';
import {
	encodeBytes, forwardAnswerSchema, fromOutcomeMessage, type ForwardAnswer, type ForwardedCall,
} from '@cairnbank/protocol/at-most-once';
import type {HopSpan} from '../../tracing/call-trace.js';
import type {PeerClients} from '../peers/peer-clients.js';
import type {BoundCall} from './bound-call.js';
import type {OwnerDirectory} from './owner-directory.js';

/** Maximum number of holders tried in a row, as each may have handed the table over to a successor. */
const maximumHops = 3;
/** Part of the remaining time that is reserved for the answer to travel back. */
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
	async forward(boundCall: BoundCall, owner: IncarnationId): Promise<Outcome> {
		return this.forwardTo(boundCall, owner, owner);
	}

	/** @param holder - the process that is known to hold the owner's table; it may have handed the table over since */
	async forwardTo(boundCall: BoundCall, owner: IncarnationId, holder: IncarnationId): Promise<Outcome> {
		const hop = boundCall.call.trace.hop('forward', {owner});
		const outcome = await this.#forwardToHolder(boundCall, owner, holder, hop);
		hop.end(outcome.type);
		return outcome;
	}

	async #forwardToHolder(boundCall: BoundCall, owner: IncarnationId, firstHolder: IncarnationId, hop: HopSpan): Promise<Outcome> {
		let holder = firstHolder;
		for (let hops = 0; hops < maximumHops; hops += 1) {
			const address = this.#parts.directory.holderAddressOf(holder);
			if (!address) {
				return unknown('owner-gone');
			}

			const answer = await this.#callPeer(address, this.#toMessage(boundCall, owner, hop));
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

	/** Sends the call once. The owner's table would make a retry safe, but a retry gains nothing. */
	async #callPeer(address: Address, message: ForwardedCall): Promise<ForwardAnswer | undefined> {
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
