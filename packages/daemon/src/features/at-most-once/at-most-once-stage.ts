/** The call stage that decides, by the ticket or key of a non-idempotent call, whether it runs here, on another instance or not at all. */
import {type Clock, type IncarnationId, fingerprintOf} from '@cairnbank/core';
import {
	notRun, parseIdempotencyKey, unknown, type IdempotencyKey, type Outcome,
} from '@cairnbank/core/outcomes';
import {type ForwardAnswer, type ForwardedCall, toOutcomeMessage} from '@cairnbank/protocol/at-most-once';
import type {Call} from '../calls/call.js';
import type {CallHandler, CallStage} from '../calls/call-handler.js';
import type {AtMostOnceMetrics} from './at-most-once-metrics.js';
import type {BoundCall} from './bound-call.js';
import type {ForwardedCalls} from './forwarded-calls.js';
import type {Forwarder} from './forwarder.js';
import type {HandOverResult} from './hand-over-sender.js';
import type {KeyRunner} from './key-runner.js';
import type {LocalDecision} from './local-decision.js';
import type {TicketRunner} from './ticket-runner.js';
import {withinDeadline} from './within-deadline.js';

/** Time after which a caller may retry if its claim was not confirmed. */
const claimRetryAfterMs = 1000;
const emptyBody = new Uint8Array(0);

export type AtMostOnceStageParts = {
	readonly owner: IncarnationId;
	readonly clock: Clock;
	readonly ticketRunner: TicketRunner;
	readonly keyRunner: KeyRunner;
	readonly forwarder: Forwarder;
	readonly forwardedCalls: ForwardedCalls;
	readonly metrics: AtMostOnceMetrics;
	/** The result of the hand-over of the sealed tables; pending until the hand-over has ended. */
	readonly handOverResult: Promise<HandOverResult>;
};

export class AtMostOnceStage implements CallStage {
	readonly name = 'at-most-once';
	readonly #parts: AtMostOnceStageParts;
	#next: CallHandler;

	constructor(parts: AtMostOnceStageParts) {
		this.#parts = parts;
		this.#next = async () => notRun('no-upstream');
	}

	wrap(next: CallHandler): CallHandler {
		this.#next = next;
		return async call => this.#handle(call);
	}

	/**
	 * Handles a call that another instance forwarded because this process holds its table: runs it, joins its run or repeats
	 * its outcome.
	 */
	async acceptForwarded(message: ForwardedCall): Promise<ForwardAnswer> {
		const call = this.#parts.forwardedCalls.toCall(message);
		if (!call) {
			return {type: 'ended', outcome: toOutcomeMessage(unknown('owner-unreachable'))};
		}

		const {binding, owner} = message;
		const boundCall = {call, binding, fingerprint: fingerprintOfCall(call)};
		const decision = binding.type === 'ticket'
			? this.#parts.ticketRunner.handle(boundCall, binding.ticket, this.#next)
			: this.#parts.keyRunner.handleOwnedKey(boundCall, binding.key, owner, this.#next);
		try {
			const answer = await this.#answerForwarded(decision);
			call.trace.end(answer.type);
			return answer;
		} finally {
			this.#parts.forwardedCalls.end(call);
		}
	}

	async #handle(call: Call): Promise<Outcome> {
		if (call.idempotent) {
			return this.#next(call);
		}

		if (call.ticket !== undefined) {
			return this.#handleTicket(call, call.ticket);
		}

		if (call.idempotencyKey !== undefined) {
			const key = parseIdempotencyKey(call.idempotencyKey);
			return key ? this.#handleKey(call, key) : notRun('malformed-request');
		}

		return this.#next(call);
	}

	async #handleTicket(call: Call, ticket: string): Promise<Outcome> {
		const boundCall: BoundCall = {call, binding: {type: 'ticket', ticket}, fingerprint: fingerprintOfCall(call)};
		return this.#resolveDecision(boundCall, this.#parts.ticketRunner.handle(boundCall, ticket, this.#next));
	}

	async #handleKey(call: Call, key: IdempotencyKey): Promise<Outcome> {
		const boundCall: BoundCall = {call, binding: {type: 'key', key}, fingerprint: fingerprintOfCall(call)};
		const outcome = await this.#resolveDecision(boundCall, this.#parts.keyRunner.handle(boundCall, key, this.#next));
		return withRetryAfter(outcome);
	}

	async #resolveDecision(boundCall: BoundCall, decision: LocalDecision): Promise<Outcome> {
		const {clock, forwarder, metrics} = this.#parts;
		metrics.countDecision(boundCall.binding.type, decision.type);
		switch (decision.type) {
			case 'here': {
				return decision.outcome;
			}

			case 'elsewhere': {
				return forwarder.forward(boundCall, decision.owner);
			}

			case 'sealed': {
				return withinDeadline(this.#forwardToSuccessor(boundCall), boundCall.call.deadlineAtMs, clock);
			}
		}
	}

	/** Waits for the hand-over of the sealed tables, then forwards the call to their successor. */
	async #forwardToSuccessor(boundCall: BoundCall): Promise<Outcome> {
		const result = await this.#parts.handOverResult;
		switch (result.type) {
			case 'accepted': {
				return this.#parts.forwarder.forwardTo(boundCall, this.#parts.owner, result.successor);
			}

			case 'none': {
				return rejectionBySealedTables(boundCall);
			}

			case 'in-doubt': {
				return unknown('owner-gone');
			}
		}
	}

	async #answerForwarded(decision: LocalDecision): Promise<ForwardAnswer> {
		switch (decision.type) {
			case 'here': {
				return {type: 'ended', outcome: toOutcomeMessage(await decision.outcome)};
			}

			case 'elsewhere': {
				return {type: 'not-owner'};
			}

			case 'sealed': {
				const result = await this.#parts.handOverResult;
				return result.type === 'accepted' ? {type: 'moved', successor: result.successor} : {type: 'not-owner'};
			}
		}
	}
}

/**
 * Returns the outcome of a call if no process took the sealed tables over. An unused ticket of such tables never runs,
 * but another instance may still claim a key.
 */
function rejectionBySealedTables({binding, call}: BoundCall): Outcome {
	return binding.type === 'ticket' || call.previousAttempts === 0 ? notRun('stopping') : unknown('claim-unproven');
}

function fingerprintOfCall(call: Call) {
	return fingerprintOf({
		service: call.serviceId, method: call.method, path: call.path, tenant: call.tenant, body: call.body ?? emptyBody,
	});
}

function withRetryAfter(outcome: Outcome): Outcome {
	const isUnproven = (outcome.type === 'not-run' || outcome.type === 'unknown') && outcome.reason === 'claim-unproven';
	return isUnproven ? {...outcome, retryAfterMs: claimRetryAfterMs} : outcome;
}
