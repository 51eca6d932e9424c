/** Drives the attempts of one call: the first, its retries or hedge, and their end in one outcome. */
import type {UpstreamId} from '@cairnbank/core';
import type {AttemptResult, Outcome} from '@cairnbank/core/outcomes';
import {
	type AttemptEnd, type AttemptKind, finalOutcome, nextStep, remainingMs, type RetryPolicy,
} from '@cairnbank/core/retries';
import type {AttemptParts} from './attempt-parts.js';
import type {Call} from './call.js';
import type {ClassHedging} from './call-budgets.js';
import {withRetryAfter} from './crash-inquiry.js';
import type {LoopAttempt} from './loop-attempt.js';
import {retryPolicyOf} from './retry-policy-of.js';
import {type CancelReason, UpstreamAttempt} from './upstream-attempt.js';

const noUpstreams: readonly UpstreamId[] = [];
const excludesNone: ReadonlySet<UpstreamId> = new Set();

export class AttemptLoop {
	readonly #call: Call;
	readonly #parts: AttemptParts;
	readonly #attempts: LoopAttempt[] = [];
	readonly #hedging: ClassHedging | undefined;
	#policy: RetryPolicy;
	#resolve: ((outcome: Outcome) => void) | undefined;
	#timer: NodeJS.Timeout | undefined;
	#armedAtMs: number | undefined;
	#stopListening: (() => void) | undefined;

	constructor(call: Call, parts: AttemptParts) {
		this.#call = call;
		this.#parts = parts;
		this.#hedging = parts.budgets.hedging(call.requestClass);
		this.#policy = retryPolicyOf(call, parts.budgets);
	}

	/** Runs the call to its one outcome. */
	async run(): Promise<Outcome> {
		if (this.#parts.heldAnswers.isFull) {
			return {type: 'not-run', reason: 'answers-held-full'};
		}

		if (this.#call.cancellation.cancelled) {
			return {type: 'not-run', reason: 'caller-gone'};
		}

		if (remainingMs(this.#call.deadlineAtMs, this.#parts.clock.monotonicMs()) === undefined) {
			return {type: 'not-run', reason: 'deadline-exceeded'};
		}

		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#begin();
		});
	}

	#begin(): void {
		const nowMs = this.#parts.clock.monotonicMs();
		this.#policy.retryBudget.deposit(nowMs);
		this.#hedging?.budget.deposit(nowMs);
		this.#stopListening = this.#call.cancellation.onCancel(() => {
			this.#giveUp('caller-gone');
		});
		this.#arm(this.#call.deadlineAtMs, nowMs);
		const refusal = this.#parts.guard.refusal(this.#call);
		if (refusal !== undefined) {
			this.#finish(refusal);
		} else if (!this.#start('first', noUpstreams)) {
			this.#finish(finalOutcome(this.#attempts));
		} else if (this.#policy.hedging !== undefined && this.#resolve !== undefined) {
			this.#step();
		}
	}

	/** @returns false where no upstream can be had */
	#start(kind: AttemptKind, excluding: readonly UpstreamId[]): boolean {
		const {service, serviceId, trial, requestClass} = this.#call;
		const nowMs = this.#parts.clock.monotonicMs();
		const left = remainingMs(this.#call.deadlineAtMs, nowMs);
		const excluded = trial === undefined && excluding.length === 0
			? excludesNone
			: new Set([...excluding, ...trial?.excluding ?? noUpstreams]);
		const chosen = left === undefined ? undefined : this.#parts.choose(service, excluded, requestClass.priority);
		if (left === undefined || chosen === undefined) {
			return false;
		}

		this.#parts.guard.started(this.#call, chosen.upstream.id);
		this.#parts.metrics.attempted(serviceId, kind);
		const attempt: LoopAttempt = {
			kind, upstream: chosen.upstream.id, startedAtMs: nowMs, chosen,
		};
		attempt.running = this.#makeAttempt(attempt, left);
		this.#attempts.push(attempt);
		attempt.running.dispatch();
		return true;
	}

	#makeAttempt(attempt: LoopAttempt, left: number): UpstreamAttempt {
		return new UpstreamAttempt({
			call: this.#call,
			dispatcher: attempt.chosen.dispatcher,
			upstream: attempt.upstream,
			remainingMs: left,
			heldAnswerBytes: this.#parts.heldAnswerBytes,
			heldAnswers: this.#parts.heldAnswers,
			onHead(headers) {
				attempt.chosen.onHead(headers);
			},
			onStream: () => {
				this.#cancelRunning('caller-gone', attempt);
			},
			onEnd: result => {
				attempt.chosen.onEnd(result);
				this.#ended(attempt, result);
			},
		});
	}

	#ended(attempt: LoopAttempt, result: AttemptResult): void {
		const {noRetry, isLost} = attempt.running!;
		const inquiry = this.#parts.inquiry.inquire({
			call: this.#call, chosen: attempt.chosen, result, isLost,
		});
		if (inquiry === undefined) {
			this.#close(attempt, {result, noRetry, suspect: false});
		} else {
			void this.#closeAfter(inquiry, attempt, {result, noRetry});
		}
	}

	async #closeAfter(inquiry: Promise<boolean>, attempt: LoopAttempt, end: Omit<AttemptEnd, 'suspect'>): Promise<void> {
		const suspect = await inquiry;
		if (this.#resolve !== undefined) {
			this.#close(attempt, suspect ? {...end, result: withRetryAfter(end.result), suspect} : {...end, suspect});
		}
	}

	#close(attempt: LoopAttempt, end: AttemptEnd): void {
		attempt.end = end;
		if (end.result.type === 'answered') {
			this.#hedging?.latencies.record(this.#parts.clock.monotonicMs() - attempt.startedAtMs);
		}

		if (this.#resolve !== undefined) {
			this.#step();
		}
	}

	#step(): void {
		const nowMs = this.#parts.clock.monotonicMs();
		if (nowMs >= this.#call.deadlineAtMs) {
			this.#giveUp('deadline-exceeded');
			return;
		}

		const step = nextStep(this.#attempts, this.#policy, nowMs);
		switch (step.type) {
			case 'finish': {
				this.#finish(step.outcome);
				break;
			}

			case 'wait': {
				this.#arm(step.hedgeAtMs ?? this.#call.deadlineAtMs, nowMs);
				break;
			}

			case 'start': {
				this.#startAnother(step.kind, step.excluding);
			}
		}
	}

	#startAnother(kind: 'retry' | 'hedge', excluding: readonly UpstreamId[]): void {
		const isRefused = this.#parts.guard.refusal(this.#call) !== undefined;
		if (!isRefused && this.#start(kind, excluding)) {
			this.#step();
		} else if (kind === 'retry') {
			this.#finish(finalOutcome(this.#attempts));
		} else {
			const {hedging: _, ...withoutHedging} = this.#policy;
			this.#policy = withoutHedging;
			this.#step();
		}
	}

	#arm(atMs: number, nowMs: number): void {
		if (atMs === this.#armedAtMs) {
			return;
		}

		this.#armedAtMs = atMs;
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#armedAtMs = undefined;
			this.#step();
		}, Math.max(1, Math.ceil(atMs - nowMs)));
	}

	/** Attempts that are still running say whether anything was sent before the outcome is formed. */
	#giveUp(reason: CancelReason): void {
		const resolve = this.#resolve;
		this.#resolve = undefined;
		this.#cancelRunning(reason);
		this.#resolve = resolve;
		this.#finish(finalOutcome(this.#attempts));
	}

	#cancelRunning(reason: CancelReason, except?: LoopAttempt): void {
		for (const attempt of this.#attempts) {
			if (attempt.end === undefined && attempt !== except) {
				attempt.running!.cancel(reason);
			}
		}
	}

	#finish(outcome: Outcome): void {
		const resolve = this.#resolve;
		if (resolve === undefined) {
			return;
		}

		this.#resolve = undefined;
		clearTimeout(this.#timer);
		this.#stopListening?.();
		this.#cancelLosers();
		this.#parts.metrics.ended(this.#call.serviceId, outcome);
		this.#parts.metrics.addedBy(this.#call, this.#attempts, outcome);
		this.#parts.guard.ended(this.#call, outcome);
		resolve(outcome);
	}

	/** The losers' times count as at least what they took, lest slow answers never show in the quantile. */
	#cancelLosers(): void {
		for (const attempt of this.#attempts) {
			if (attempt.end === undefined && attempt.running!.cancel('caller-gone')) {
				this.#parts.metrics.hedgeCancelled(this.#call.serviceId);
				this.#hedging?.latencies.record(this.#parts.clock.monotonicMs() - attempt.startedAtMs);
			}
		}
	}
}
