/** Prevents a request that crashes upstreams from crashing more than two of them. */
import type {UpstreamId, Fingerprint} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';
import {
	countCrashes, defaultPoisonSettings, type PoisonDecision, type Suspect, SuspectTable,
} from '@cairnbank/core/poison';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {AbandonedRequests} from './abandoned-requests.js';
import type {Call} from './call.js';
import type {CallHandler, CallStage} from './call-handler.js';
import type {CallMetrics} from './call-metrics.js';
import {fingerprintOfCall} from './fingerprint-of-call.js';
import {RunningCalls} from './running-calls.js';
import {SuspectWaiters} from './suspect-waiters.js';

/** Time after which a caller may send a request again while the same request is on trial. */
const trialRetryAfterMs = 1000;
/** Time that a trial stays open after its deadline, so that the crash check can distinguish a crash from a connection reset. */
const crashClassificationMs = 500;

/** A stage of the call pipeline that runs, delays or refuses suspects. It exchanges suspects with the peers through the message bus. */
export class PoisonGuard implements CallStage {
	readonly name = 'poison';
	readonly #context: DaemonContext;
	readonly #metrics: CallMetrics;
	readonly #table: SuspectTable;
	readonly #waiters = new SuspectWaiters();
	readonly #runningCalls = new RunningCalls();
	/** Suspects whose trial is running on this instance or waits here for an upstream. */
	readonly #ownTrials = new Set<Fingerprint>();
	readonly #abandoned: AbandonedRequests;

	constructor(context: DaemonContext, metrics: CallMetrics) {
		this.#context = context;
		this.#metrics = metrics;
		const {maximumSuspects} = context.settings.calls;
		this.#table = new SuspectTable(context.clock, context.settings.instanceId, {...defaultPoisonSettings, maximumSuspects});
		this.#abandoned = new AbandonedRequests(context.clock);
		metrics.registerSuspectGauge(() => this.#table.counts());
		context.bus.on('suspects-received', ({suspects}) => {
			this.#table.merge(suspects);
			this.#beginTrialsOfRunning(suspects);
			this.#waiters.wake();
		});
	}

	wrap(next: CallHandler): CallHandler {
		return async call => this.#table.hasActiveSuspects ? this.#decideAndRun(call, next) : next(call);
	}

	/** Returns a refusal if the request was found to crash upstreams while the call was waiting. */
	refusal(call: Call): Outcome | undefined {
		return this.#table.hasActiveSuspects ? this.#toRefusal(call, this.#table.decide(fingerprintOfCall(call))) : undefined;
	}

	/** Records that a request is about to be sent to an upstream, and starts its trial if it is a suspect. */
	recordStart(call: Call, upstream: UpstreamId): void {
		this.#runningCalls.add(call, upstream);
		call.trial?.begin(upstream);
	}

	/** Records a request that was abandoned while the upstream may still be running it. */
	recordAbandoned(call: Call, upstream: UpstreamId): void {
		this.#abandoned.add(fingerprintOfCall(call), upstream);
	}

	/** Returns whether a refused connection may mean that an abandoned request crashed the upstream. */
	hasAbandonedRequests(upstream: UpstreamId): boolean {
		return this.#abandoned.has(upstream);
	}

	/** Records the outcome of a call. A success clears the request of suspicion; any other outcome only ends its trial. */
	recordOutcome(call: Call, outcome: Outcome): void {
		this.#runningCalls.delete(call);
		if (!this.#table.hasActiveSuspects) {
			return;
		}

		const fingerprint = fingerprintOfCall(call);
		const isSuccess = outcome.type === 'answered' || outcome.type === 'streamed';
		this.#announce(isSuccess ? this.#table.recordSuccess(fingerprint) : this.#table.endTrial(fingerprint));
	}

	/** Makes suspects of the request that was in flight at a crashed upstream and of the requests that were recently abandoned there. */
	recordCrash(upstream: UpstreamId, call?: Call): void {
		if (call !== undefined) {
			// Otherwise the call would count as on trial there until it ends, and peers would take the end of that trial for the end of theirs.
			this.#runningCalls.remove(call, upstream);
		}

		const inFlight = call === undefined ? [] : [fingerprintOfCall(call)];
		for (const fingerprint of [...inFlight, ...this.#abandoned.take(upstream)]) {
			this.#recordSuspect(fingerprint, upstream);
		}
	}

	/** Returns the suspects to send to a peer that has just started, the most suspicious first. */
	mostSuspicious(maximum: number): Suspect[] {
		return this.#table.mostSuspicious(maximum);
	}

	#recordSuspect(fingerprint: Fingerprint, upstream: UpstreamId): void {
		const suspect = this.#table.recordCrash(fingerprint, upstream);
		this.#metrics.countSuspect();
		this.#context.logger.warn('upstream crashed with request in flight', {
			upstream, fingerprint, crashes: countCrashes(suspect),
		});
		this.#announce(suspect);
		this.#beginTrialsOfRunning([suspect]);
	}

	/** Starts the trial of each suspect that is already running on this instance, so that no peer runs it at the same time. */
	#beginTrialsOfRunning(suspects: readonly Suspect[]): void {
		const suspected = suspects.filter(({crashes}) => crashes.length > 0).map(({fingerprint}) => fingerprint);
		const withoutTrial = suspected.filter(fingerprint => this.#table.decide(fingerprint).type === 'trial');
		if (withoutTrial.length > 0) {
			for (const {fingerprint, upstream, deadlineAtMs} of this.#runningCalls.find(new Set(withoutTrial))) {
				this.#beginTrial(fingerprint, upstream, deadlineAtMs);
			}
		}
	}

	async #decideAndRun(call: Call, next: CallHandler): Promise<Outcome> {
		const fingerprint = fingerprintOfCall(call);
		for (;;) {
			const decision = this.#table.decide(fingerprint);
			switch (decision.type) {
				case 'run': {
					return next(call);
				}

				case 'trial': {
					if (!this.#ownTrials.has(fingerprint)) {
						return this.#runTrial(fingerprint, call, next);
					}

					break;
				}

				case 'refuse': {
					return this.#toRefusal(call, decision)!;
				}

				case 'await-trial': {
					break;
				}
			}

			const remainingMs = call.deadlineAtMs - this.#context.clock.monotonicMs();
			if (call.cancellation.cancelled || remainingMs <= 0) {
				return {type: 'not-run', reason: 'suspected-poison', retryAfterMs: trialRetryAfterMs};
			}

			await this.#waiters.wait(Math.min(decision.type === 'await-trial' ? decision.waitMs : remainingMs, remainingMs));
		}
	}

	/** Makes other calls with the same request wait from now on, although the trial itself starts only when an upstream has been chosen. */
	async #runTrial(fingerprint: Fingerprint, call: Call, next: CallHandler): Promise<Outcome> {
		this.#ownTrials.add(fingerprint);
		const outcome = await next({...call, trial: this.#createTrial(fingerprint, call)});
		this.#ownTrials.delete(fingerprint);
		this.#waiters.wake();
		return outcome;
	}

	#toRefusal(call: Call, decision: PoisonDecision): Outcome | undefined {
		if (decision.type !== 'refuse') {
			return undefined;
		}

		this.#metrics.countRefusedSuspect(call.serviceId);
		return {type: 'not-run', reason: 'suspected-poison', retryAfterMs: decision.retryAfterMs};
	}

	#beginTrial(fingerprint: Fingerprint, upstream: UpstreamId, deadlineAtMs: number): void {
		const durationMs = deadlineAtMs - this.#context.clock.monotonicMs() + crashClassificationMs;
		this.#announce(this.#table.beginTrial(fingerprint, upstream, durationMs));
	}

	#createTrial(fingerprint: Fingerprint, {deadlineAtMs}: Call): Call['trial'] {
		return {
			excluding: [...this.#table.upstreamsWithTrial()],
			begin: upstream => {
				this.#beginTrial(fingerprint, upstream, deadlineAtMs);
			},
		};
	}

	#announce(suspect: Suspect | undefined): void {
		if (suspect !== undefined) {
			this.#waiters.wake();
			this.#context.bus.send({type: 'suspects-changed', suspects: [suspect]});
		}
	}
}
