/** Decides during an overload which requests are sent and when refused callers return; outside of one it decides as {@link Admission} alone. */
import type {Clock} from '../model/clock.js';
import type {ClientAccountId, ServiceId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {Admission, AdmissionRequest} from '../placement/admission.js';
import {AccountShares, type AccountRequest} from './account-shares.js';
import {canReturnLater, judgeLateRequest} from './late-requests.js';
import {OverloadMeter} from './overload-meter.js';
import {ReturnTimes} from './return-times.js';
import {WaitedTimes} from './waited-times.js';

export type OverloadRequest = AdmissionRequest & {
	readonly route: AdmissionRequest['route'] & {readonly id: string};
	/** Account that the caller has authenticated as, if any. */
	readonly account?: {readonly id: ClientAccountId} | undefined;
};

/** Best place that was found for a request. */
export type OfferedPlace = {
	readonly expectedMs: number;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
	readonly isLightlyLoaded: boolean;
	/** Whether the load of any upstream that may take the request is known; otherwise the duration is a guess. */
	readonly isLoadKnown: boolean;
};

export type RefusalReason =
	/** No upstream would answer within the target latency. */
	| 'too-busy'
	/** Most requests are refused, and the slots are left to more urgent ones. */
	| 'outranked'
	/** Its account asks for more than its share, and others are refused. */
	| 'account-over-share'
	/** The request can't be in time any more, and the slots go to those that can. */
	| 'late'
	/** No upstream would answer before the deadline. */
	| 'deadline-too-near';

export type OverloadVerdict =
	| {readonly type: 'admitted'}
	| {readonly type: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number};

export type OverloadControlOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly admission: Admission;
};

export class OverloadControl {
	readonly #options: OverloadControlOptions;
	readonly #meter: OverloadMeter;
	readonly #returnTimes: ReturnTimes;
	readonly #accountShares: AccountShares;
	readonly #waitedTimes = new WaitedTimes();

	constructor(options: OverloadControlOptions) {
		this.#options = options;
		this.#meter = new OverloadMeter(options.clock);
		this.#accountShares = new AccountShares(options);
		this.#returnTimes = new ReturnTimes({...options, meter: this.#meter});
	}

	recordArrival(request: OverloadRequest): void {
		this.#options.admission.recordArrival(request);
		this.#waitedTimes.recordArrival(request, this.#meter.isOverloaded(request.service));
	}

	/**
	 * Returns whether nothing speaks against sending a request but what upstreams without a load report count as: no load is known, and no
	 * recent refusal shows that there is none to spare. Such a request waits for a report, or is sent, as an idle upstream could answer it.
	 */
	isRefusedByGuess(request: OverloadRequest, place: OfferedPlace): boolean {
		const {admission, clock} = this.#options;
		const isGuess = !place.isLoadKnown && !this.#meter.isOverloaded(request.service) && !admission.isOutranked(request);
		return isGuess && !admission.admits(request, place) && clock.monotonicMs() + place.workMs <= request.deadlineAtMs;
	}

	/** Decides whether a request is sent to the best place found for it, and records the decision. */
	decide(request: OverloadRequest, place: OfferedPlace): OverloadVerdict {
		const accountRequest = toAccountRequest(request, place);
		this.#accountShares.recordArrival(accountRequest);
		const room = {isLightlyLoaded: place.isLightlyLoaded, isOverloaded: this.#meter.isOverloaded(request.service)};
		const mustYield = this.#accountShares.mustYield(accountRequest, room);
		const reason = mustYield ? 'account-over-share' : this.#refusalReason(request, place);
		this.#accountShares.recordDecision(accountRequest, reason === undefined);
		if (reason === undefined) {
			this.#meter.recordAdmitted(counted(request));
			return {type: 'admitted'};
		}

		this.#recordRefusal(request, reason);
		return {type: 'refused', reason, retryAfterMs: this.#retryAfterMs(request, place.workMs)};
	}

	/**
	 * Records that an upstream refused a request because it was full.
	 *
	 * @returns the retry delay in milliseconds, in case the request is not sent to another upstream
	 */
	recordUpstreamRefusal(request: OverloadRequest, workMs: number): number {
		this.#meter.recordRefused(counted(request));
		return this.#retryAfterMs(request, workMs);
	}

	/** A request that yields to others says nothing about room; if it were counted, requests would go on to yield once there is room again. */
	#recordRefusal(request: OverloadRequest, reason: RefusalReason): void {
		if (reason === 'too-busy' || reason === 'outranked') {
			this.#options.admission.recordRefusal(request);
		}

		if (reason !== 'outranked' && reason !== 'account-over-share') {
			this.#meter.recordRefused(counted(request));
		}
	}

	#retryAfterMs(request: OverloadRequest, workMs: number): number {
		const {service, deadlineAtMs, route: {targetLatencyMs}} = request;
		return this.#returnTimes.delayMs({
			service,
			workMs,
			deadlineAtMs,
			targetAtMs: this.#askedAtMs(request) + targetLatencyMs,
			hasReturned: this.#waitedTimes.waitedMs(request) > 0,
			canReturnLater: canReturnLater({nowMs: this.#options.clock.monotonicMs(), deadlineAtMs, targetLatencyMs}),
		});
	}

	#refusalReason(request: OverloadRequest, place: OfferedPlace): RefusalReason | undefined {
		const {admission, clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const {deadlineAtMs, route: {targetLatencyMs}} = request;
		if (!this.#meter.isOverloaded(request.service) || !canReturnLater({nowMs, deadlineAtMs, targetLatencyMs})) {
			return admission.admits(request, place) || this.isRefusedByGuess(request, place) ? undefined : 'too-busy';
		}

		const askedAtMs = this.#askedAtMs(request);
		const isAdmitted = admission.admits({...request, receivedAtMs: askedAtMs}, place);
		const verdict = judgeLateRequest({
			...place, nowMs, askedAtMs, targetLatencyMs, deadlineAtMs,
		});
		switch (verdict) {
			case 'in-time': {
				if (!isAdmitted) {
					return 'too-busy';
				}

				return this.#yields(request, place) ? 'outranked' : undefined;
			}

			case 'send': {
				return undefined;
			}

			case 'wait': {
				return 'late';
			}

			case 'hopeless': {
				return 'deadline-too-near';
			}
		}
	}

	/**
	 * While most requests at least as urgent as this one are refused, it leaves the slots to more urgent ones, except at lightly loaded
	 * upstreams: the least urgent yield first.
	 */
	#yields(request: OverloadRequest, {isLightlyLoaded}: OfferedPlace): boolean {
		const {admission} = this.#options;
		return !isLightlyLoaded && this.#meter.refusesMost(counted(request)) && admission.hasMoreUrgent(request);
	}

	/** Returns when the caller asked for the first time, as far as its deadline tells. */
	#askedAtMs(request: OverloadRequest): number {
		return request.receivedAtMs - this.#waitedTimes.waitedMs(request);
	}
}

function counted({service, priority}: OverloadRequest): {readonly service: ServiceId; readonly priority: number} {
	return {service, priority};
}

function toAccountRequest({service, account, priority}: OverloadRequest, {workMs}: OfferedPlace): AccountRequest {
	return {
		service, account: account?.id, priority, workMs,
	};
}
