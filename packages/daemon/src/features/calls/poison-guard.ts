/** Keeps a request that crashes upstreams from taking down more than two. */
import type {UpstreamId} from '@cairnbank/core';
import type {NotRunReason, Outcome} from '@cairnbank/core/outcomes';
import {
	countCrashes, defaultPoisonSettings, type Fingerprint, fingerprintOf, type Suspect, SuspectTable,
} from '@cairnbank/core/poison';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {Call} from './call.js';
import type {CallHandler, CallStage} from './call-handler.js';
import type {CallMetrics} from './call-metrics.js';
import {SuspectWaiters} from './suspect-waiters.js';

/** Time after which a caller may ask again while the same request is on trial. */
const trialRetryAfterMs = 1000;

/** Guards the way of a call; suspects are shared with the peers over the bus. */
export class PoisonGuard implements CallStage {
	readonly name = 'poison';
	readonly #context: DaemonContext;
	readonly #metrics: CallMetrics;
	readonly #table: SuspectTable;
	readonly #waiters = new SuspectWaiters();

	constructor(context: DaemonContext, metrics: CallMetrics) {
		this.#context = context;
		this.#metrics = metrics;
		const {maximumSuspects} = context.settings.calls;
		this.#table = new SuspectTable(context.clock, context.settings.instanceId, {...defaultPoisonSettings, maximumSuspects});
		context.bus.on('suspects-received', ({suspects}) => {
			this.#table.merge(suspects);
			this.#waiters.wake();
		});
	}

	wrap(next: CallHandler): CallHandler {
		return async call => this.#table.blamesAny ? this.#guard(call, next) : this.#watch(call, next);
	}

	/** Blames a call that was in flight when its upstream crashed. */
	blame(call: Call, upstream: UpstreamId): void {
		const fingerprint = fingerprintOfCall(call);
		const suspect = this.#table.crashed(fingerprint, upstream);
		const crashes = countCrashes(suspect);
		this.#metrics.suspected(call.serviceId);
		this.#context.logger.warn('upstream crashed with request in flight', {
			service: call.serviceId, upstream, fingerprint, crashes,
		});
		this.#announce(suspect);
	}

	/** What a peer that has just started should know. */
	suspects(maximum: number): Suspect[] {
		return this.#table.toShare(maximum);
	}

	/** Ordinary days: a fingerprint is taken only if a crash was seen meanwhile. */
	async #watch(call: Call, next: CallHandler): Promise<Outcome> {
		const outcome = await next(call);
		if (this.#table.blamesAny) {
			this.#clear(fingerprintOfCall(call), outcome);
		}

		return outcome;
	}

	async #guard(call: Call, next: CallHandler): Promise<Outcome> {
		const fingerprint = fingerprintOfCall(call);
		for (;;) {
			const decision = this.#table.decide(fingerprint);
			switch (decision.type) {
				case 'run': {
					return this.#run(fingerprint, call, next);
				}

				case 'trial': {
					return this.#try(fingerprint, call, next);
				}

				case 'refuse': {
					this.#metrics.refusedSuspect(call.serviceId);
					return notRun('suspected-poison', decision.retryAfterMs);
				}

				case 'await-trial': {
					const remainingMs = call.deadlineAtMs - this.#context.clock.monotonicMs();
					if (call.cancellation.cancelled || remainingMs <= 0) {
						return notRun('suspected-poison', trialRetryAfterMs);
					}

					await this.#waiters.wait(Math.min(decision.waitMs, remainingMs));
				}
			}
		}
	}

	async #run(fingerprint: Fingerprint, call: Call, next: CallHandler): Promise<Outcome> {
		const outcome = await next(call);
		this.#clear(fingerprint, outcome);
		return outcome;
	}

	async #try(fingerprint: Fingerprint, call: Call, next: CallHandler): Promise<Outcome> {
		const outcome = await next({
			...call,
			trial: {
				excluding: [...this.#table.upstreamsUnderTrial()],
				begin: upstream => {
					this.#announce(this.#table.beginTrial(fingerprint, upstream));
				},
			},
		});
		if (!this.#clear(fingerprint, outcome)) {
			this.#announce(this.#table.endTrial(fingerprint));
		}

		return outcome;
	}

	/** Whether the outcome proves that the request crashes nothing. */
	#clear(fingerprint: Fingerprint, outcome: Outcome): boolean {
		if (outcome.type !== 'answered' && outcome.type !== 'streamed') {
			return false;
		}

		const suspect = this.#table.endedWell(fingerprint);
		this.#announce(suspect);
		return suspect !== undefined;
	}

	#announce(suspect: Suspect | undefined): void {
		if (suspect !== undefined) {
			this.#waiters.wake();
			this.#context.bus.send({type: 'suspects-changed', suspects: [suspect]});
		}
	}
}

function fingerprintOfCall(call: Call): Fingerprint {
	return fingerprintOf({
		service: call.serviceId, method: call.method, path: call.path, body: call.body,
	});
}

function notRun(reason: NotRunReason, retryAfterMs: number): Outcome {
	return {type: 'not-run', reason, retryAfterMs};
}
