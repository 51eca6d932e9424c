/** What one instance knows of one upstream: its load, own requests there, failures, whether it answers. */
import {AdvisoryRecord} from '../advisories/advisory-record.js';
import {AdvertisedRate} from '../limits/advertised-rate.js';
import type {Clock} from '../model/clock.js';
import type {LoadReport} from './load-report.js';
import {InFlightRequests, type InFlightRequest} from './in-flight-requests.js';
import {WarmupState} from './warmup-state.js';

/** Neighbours of an upstream change their load about twice a second: a report says little after that. */
export const reportLifetimeMs = 400;
/** Time in which half of the blame for a failure fades. */
const failureHalfLifeMs = 3000;
/** Time after which an upstream that could not be reached is checked again; doubles with each further time. */
const firstBackoffMs = 100;
const maximumBackoffMs = 1600;
/** Blame that a failed answer adds; a mean share of failures over recent answers. */
const failureStep = 0.25;
/**
 * Blame where a later attempt elsewhere was answered first. It makes the upstream second among equals for some seconds;
 * without it one that hangs and reports free slots would be chosen again and again.
 */
const overtakenStep = 0.1;
/** Blame for a health check that was broken off: a fifth of that for a failed request, as it is a weaker sign. */
const brokenCheckStep = 0.05;
/**
 * A health check is answered within some 10 ms, or 14 on a new connection to another availability zone; one that takes
 * longer than this is at an upstream that is dark, cut off or frozen, or whose packets were lost.
 */
const silentAfterMs = 20;
const ln2 = Math.LN2;

/** Mutable record of one upstream; owned by the task that sends to it. */
export class UpstreamCondition {
	readonly warmup: WarmupState;
	readonly advertisedRate: AdvertisedRate;
	readonly advisories: AdvisoryRecord;
	readonly #clock: Clock;
	readonly #own: InFlightRequests;
	readonly #onUnreachable: () => void;
	#report: LoadReport | undefined;
	#reportAtMs = Number.NEGATIVE_INFINITY;
	#reports = 0;
	#tellsLoad = false;
	#failureRatio = 0;
	#failureAtMs = 0;
	#unreachableCount = 0;
	#checkDueAtMs = Number.NEGATIVE_INFINITY;
	#askedAtMs: number | undefined;
	#unreportedInFlight = 0;

	/**
	 * @param onUnreachable - it could not be reached, and is to be checked once that is due
	 * @param coldForMs - how much longer it is cold, as far as is known
	 * @param advisories - what it has advised before; nothing, unless said otherwise
	 */
	constructor(clock: Clock, onUnreachable: () => void = () => undefined, coldForMs = 0, advisories = new AdvisoryRecord(clock)) {
		this.#clock = clock;
		this.warmup = new WarmupState(clock, coldForMs);
		this.advertisedRate = new AdvertisedRate(clock);
		this.advisories = advisories;
		this.#own = new InFlightRequests(clock);
		this.#onUnreachable = onUnreachable;
	}

	/** The last report while it is worth something; where an upstream tells no load, what its answers say of it. */
	get report(): LoadReport | undefined {
		if (this.reportAgeMs > reportLifetimeMs || this.#report === undefined) {
			return undefined;
		}

		return this.#tellsLoad ? this.#report : {...this.#report, slowness: this.#own.slowness};
	}

	/** Whether its speed is known from itself. */
	get reportsLoad(): boolean {
		return this.#tellsLoad;
	}

	get reportAgeMs(): number {
		return this.#clock.monotonicMs() - this.#reportAtMs;
	}

	/** Share of recent answers that were failures, fading with time. */
	get failureRatio(): number {
		const elapsedMs = this.#clock.monotonicMs() - this.#failureAtMs;
		return this.#failureRatio * Math.exp(-ln2 * elapsedMs / failureHalfLifeMs);
	}

	/** Own requests there that the report doesn't count. */
	get unreportedInFlight(): number {
		return this.#unreportedInFlight;
	}

	/** It could not be reached and has answered nothing since. */
	get isUnreachable(): boolean {
		return this.#unreachableCount > 0;
	}

	/** It is avoided and may be checked again. */
	get isHealthCheckDue(): boolean {
		return this.isUnreachable && this.#askedAtMs === undefined && this.#clock.monotonicMs() >= this.#checkDueAtMs;
	}

	/** A health check or an own request is under way there for longer than one takes. */
	get isUnresponsive(): boolean {
		const isCheckLate = this.#askedAtMs !== undefined && this.#clock.monotonicMs() - this.#askedAtMs >= silentAfterMs;
		return isCheckLate || this.#own.hasOverdue;
	}

	/**
	 * A request is on its way there.
	 *
	 * @param workMs - expected at usual speed
	 * @param expectedMs - until its answer, by what is known now
	 * @returns what is handed back as it ends
	 */
	recordRequestSent(workMs: number, expectedMs: number = workMs): InFlightRequest {
		this.#unreportedInFlight += 1;
		return this.#own.add(workMs, expectedMs, this.#reports);
	}

	/** @param isWhole - whether it ran to its end; one that was given up late speaks against the upstream */
	recordRequestEnd(request: InFlightRequest, isWhole: boolean): void {
		if (!isWhole && this.#own.isOverdue(request)) {
			this.recordFailure();
		}

		this.#own.remove(request, isWhole);
		if (request.reports === this.#reports) {
			this.#unreportedInFlight -= 1;
		}
	}

	/** It has told its load, which counts own requests too. */
	recordLoadReport(report: LoadReport): void {
		this.#tellsLoad = true;
		this.#reports += 1;
		this.#unreportedInFlight = 0;
		this.#setReport(report);
		this.recordReachable();
	}

	/** A health check is on its way. */
	recordHealthCheckSent(): void {
		this.#askedAtMs ??= this.#clock.monotonicMs();
	}

	/** A health check was answered without a load report: such a check waits for a slot, so one is free. */
	recordHealthCheckPassed(slots: number): void {
		this.recordReachable();
		this.#imply({
			running: 0, waiting: 0, slots, slowness: 1,
		});
	}

	/**
	 * It has refused a request: others are tried first, also where it reports free slots, so that it doesn't use up the
	 * retry budget. One that tells no load has no free slot.
	 */
	recordRefusal(slots: number): void {
		this.recordReachable();
		this.recordFailure();
		this.#imply({
			running: slots, waiting: slots, slots, slowness: 1,
		});
	}

	recordSuccess(): void {
		this.recordReachable();
		this.#setFailureRatio(this.failureRatio * (1 - failureStep));
	}

	recordFailure(): void {
		this.#blame(failureStep);
	}

	/** A request there was given up, as one sent elsewhere later was answered first. */
	recordSuperseded(): void {
		this.#blame(overtakenStep);
	}

	/** It can be reached. */
	recordReachable(): void {
		this.#askedAtMs = undefined;
		this.#unreachableCount = 0;
	}

	/**
	 * It took a connection and broke off a health check: nothing is known of its load, and others go first. That it doesn't
	 * serve is not said by this: upstreams that break off health checks and serve all else are common, and one that has
	 * crashed takes no further connection.
	 */
	recordHealthCheckAborted(): void {
		this.#askedAtMs = undefined;
		this.#reportAtMs = Number.NEGATIVE_INFINITY;
		this.#blame(brokenCheckStep);
	}

	/** No connection, or no answer to a health check. */
	recordUnreachable(): void {
		const backoffMs = Math.min(maximumBackoffMs, firstBackoffMs * (2 ** this.#unreachableCount));
		this.#askedAtMs = undefined;
		this.warmup.markUncertain();
		this.#unreachableCount += 1;
		this.#checkDueAtMs = this.#clock.monotonicMs() + backoffMs;
		this.#reportAtMs = Number.NEGATIVE_INFINITY;
		this.#onUnreachable();
	}

	#imply(report: LoadReport): void {
		if (!this.#tellsLoad) {
			this.#setReport(report);
		}
	}

	#setReport(report: LoadReport): void {
		this.#report = report;
		this.#reportAtMs = this.#clock.monotonicMs();
	}

	#blame(step: number): void {
		this.#setFailureRatio(this.failureRatio + ((1 - this.failureRatio) * step));
	}

	#setFailureRatio(ratio: number): void {
		this.#failureRatio = ratio;
		this.#failureAtMs = this.#clock.monotonicMs();
	}
}
