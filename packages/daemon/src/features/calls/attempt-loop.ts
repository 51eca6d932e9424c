/** Controls the attempts of one call: starts the first one, its retries or a hedge, and ends the call with a single outcome. */
import type {UpstreamId} from '@cairnbank/core';
import type {AttemptResult, Outcome} from '@cairnbank/core/outcomes';
import {
	type AttemptEnd, type AttemptKind, finalOutcome, nextStep, remainingMs, type RetryPolicy,
} from '@cairnbank/core/retries';
import type {AttemptDependencies} from './attempt-dependencies.js';
import type {Call} from './call.js';
import type {ClassHedging} from './call-budgets.js';
import {withSuspectRetryAfter} from './crash-check.js';
import type {CancellableAttempt} from './cancellable-attempt.js';
import {createRetryPolicy} from './create-retry-policy.js';
import {type CancelReason, UpstreamAttempt} from './upstream-attempt.js';

const noUpstreams: readonly UpstreamId[] = [];
const noExclusions: ReadonlySet<UpstreamId> = new Set();

export class AttemptLoop {
	readonly #call: Call;
	readonly #dependencies: AttemptDependencies;
	readonly #attempts: CancellableAttempt[] = [];
	readonly #hedging: ClassHedging | undefined;
	#policy: RetryPolicy;
	#resolve: ((outcome: Outcome) => void) | undefined;
	#timer: NodeJS.Timeout | undefined;
	#timerAtMs: number | undefined;
	#unsubscribe: (() => void) | undefined;

	constructor(call: Call, dependencies: AttemptDependencies) {
		this.#call = call;
		this.#dependencies = dependencies;
		this.#hedging = dependencies.budgets.hedgingFor(call.requestClass);
		this.#policy = createRetryPolicy(call, dependencies.budgets);
	}

	/** Runs the call until it has its outcome. */
	async run(): Promise<Outcome> {
		if (this.#dependencies.heldAnswers.isFull) {
			return {type: 'not-run', reason: 'answers-held-full'};
		}

		const {reason} = this.#call.cancellation;
		if (reason !== undefined) {
			return {type: 'not-run', reason};
		}

		if (remainingMs(this.#call.deadlineAtMs, this.#dependencies.clock.monotonicMs()) === undefined) {
			return {type: 'not-run', reason: 'deadline-exceeded'};
		}

		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#startFirstAttempt();
		});
	}

	#startFirstAttempt(): void {
		const nowMs = this.#dependencies.clock.monotonicMs();
		this.#policy.retryBudget.deposit(nowMs);
		this.#hedging?.budget.deposit(nowMs);
		this.#unsubscribe = this.#call.cancellation.onCancel(reason => {
			this.#cancelCall(reason);
		});
		this.#setTimer(this.#call.deadlineAtMs, nowMs);
		const refusal = this.#dependencies.poisonGuard.refusal(this.#call);
		if (refusal !== undefined) {
			this.#finish(refusal);
		} else if (!this.#startAttempt('first', noUpstreams)) {
			this.#finish(finalOutcome(this.#attempts));
		} else if (this.#policy.hedging !== undefined && this.#resolve !== undefined) {
			this.#runNextStep();
		}
	}

	/** @returns false if no upstream is available or the deadline has passed */
	#startAttempt(kind: AttemptKind, excluding: readonly UpstreamId[]): boolean {
		const {service, serviceId, trial, requestClass} = this.#call;
		const nowMs = this.#dependencies.clock.monotonicMs();
		const timeLeftMs = remainingMs(this.#call.deadlineAtMs, nowMs);
		const excluded = trial === undefined && excluding.length === 0
			? noExclusions
			: new Set([...excluding, ...trial?.excluding ?? noUpstreams]);
		const chosen = timeLeftMs === undefined ? undefined : this.#dependencies.choose(service, excluded, requestClass.priority);
		if (timeLeftMs === undefined || chosen === undefined) {
			return false;
		}

		this.#dependencies.poisonGuard.recordStart(this.#call, chosen.upstream.id);
		this.#dependencies.metrics.countAttempt(serviceId, kind);
		const attempt: CancellableAttempt = {
			kind, upstream: chosen.upstream.id, startedAtMs: nowMs, chosen,
		};
		attempt.upstreamAttempt = this.#createAttempt(attempt, timeLeftMs);
		this.#attempts.push(attempt);
		attempt.upstreamAttempt.dispatch();
		return true;
	}

	#createAttempt(attempt: CancellableAttempt, timeLeftMs: number): UpstreamAttempt {
		return new UpstreamAttempt({
			call: this.#call,
			dispatcher: attempt.chosen.dispatcher,
			upstream: attempt.upstream,
			remainingMs: timeLeftMs,
			heldAnswerBytes: this.#dependencies.heldAnswerBytes,
			heldAnswers: this.#dependencies.heldAnswers,
			onHead(headers) {
				attempt.chosen.onHead(headers);
			},
			onStreamingStart: () => {
				this.#cancelRunning('caller-gone', attempt);
			},
			onEnd: result => {
				attempt.chosen.onEnd(result);
				this.#handleEnd(attempt, result);
			},
		});
	}

	#handleEnd(attempt: CancellableAttempt, result: AttemptResult): void {
		const {noRetry, isConnectionLost} = attempt.upstreamAttempt!;
		const crashCheck = this.#dependencies.crashCheck.check({
			call: this.#call, chosen: attempt.chosen, result, isConnectionLost,
		});
		if (crashCheck === undefined) {
			this.#recordEnd(attempt, {result, noRetry, suspect: false});
		} else {
			void this.#recordEndAfter(crashCheck, attempt, {result, noRetry});
		}
	}

	async #recordEndAfter(crashCheck: Promise<boolean>, attempt: CancellableAttempt, end: Omit<AttemptEnd, 'suspect'>): Promise<void> {
		const suspect = await crashCheck;
		if (this.#resolve !== undefined) {
			this.#recordEnd(attempt, suspect ? {...end, result: withSuspectRetryAfter(end.result), suspect} : {...end, suspect});
		}
	}

	#recordEnd(attempt: CancellableAttempt, end: AttemptEnd): void {
		attempt.end = end;
		if (end.result.type === 'answered') {
			this.#hedging?.latencies.record(this.#dependencies.clock.monotonicMs() - attempt.startedAtMs);
		}

		if (this.#resolve !== undefined) {
			this.#runNextStep();
		}
	}

	#runNextStep(): void {
		const nowMs = this.#dependencies.clock.monotonicMs();
		if (nowMs >= this.#call.deadlineAtMs) {
			this.#cancelCall('deadline-exceeded');
			return;
		}

		const step = nextStep(this.#attempts, this.#policy, nowMs);
		switch (step.type) {
			case 'finish': {
				this.#finish(step.outcome);
				break;
			}

			case 'wait': {
				this.#setTimer(step.hedgeAtMs ?? this.#call.deadlineAtMs, nowMs);
				break;
			}

			case 'start': {
				this.#startAnother(step.kind, step.excluding);
			}
		}
	}

	#startAnother(kind: 'retry' | 'hedge', excluding: readonly UpstreamId[]): void {
		const isRefused = this.#dependencies.poisonGuard.refusal(this.#call) !== undefined;
		if (!isRefused && this.#startAttempt(kind, excluding)) {
			this.#runNextStep();
		} else if (kind === 'retry') {
			this.#finish(finalOutcome(this.#attempts));
		} else {
			const {hedging: _, ...withoutHedging} = this.#policy;
			this.#policy = withoutHedging;
			this.#runNextStep();
		}
	}

	#setTimer(atMs: number, nowMs: number): void {
		if (atMs === this.#timerAtMs) {
			return;
		}

		this.#timerAtMs = atMs;
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#timerAtMs = undefined;
			this.#runNextStep();
		}, Math.max(1, Math.ceil(atMs - nowMs)));
	}

	/**
	 * Cancels the running attempts before it determines the outcome, because each of them then reports whether its request may have been
	 * sent. `#resolve` is unset meanwhile, so that the ends of the attempts start no further step.
	 */
	#cancelCall(reason: CancelReason): void {
		const resolve = this.#resolve;
		this.#resolve = undefined;
		this.#cancelRunning(reason);
		this.#resolve = resolve;
		this.#finish(finalOutcome(this.#attempts));
	}

	#cancelRunning(reason: CancelReason, except?: CancellableAttempt): void {
		for (const attempt of this.#attempts) {
			if (attempt.end === undefined && attempt !== except) {
				attempt.upstreamAttempt!.cancel(reason);
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
		this.#unsubscribe?.();
		this.#cancelLosers();
		this.#dependencies.metrics.countOutcome(this.#call.serviceId, outcome);
		this.#dependencies.metrics.observeAddedLatency(this.#call, this.#attempts, outcome);
		this.#dependencies.poisonGuard.recordOutcome(this.#call, outcome);
		resolve(outcome);
	}

	/**
	 * Cancels the attempts that are still running. Their times so far are recorded as latencies, because otherwise the quantile would never
	 * contain slow answers.
	 */
	#cancelLosers(): void {
		for (const attempt of this.#attempts) {
			if (attempt.end === undefined && attempt.upstreamAttempt!.cancel('caller-gone')) {
				this.#dependencies.metrics.countCancelledAttempt(this.#call.serviceId);
				this.#hedging?.latencies.record(this.#dependencies.clock.monotonicMs() - attempt.startedAtMs);
			}
		}
	}
}
