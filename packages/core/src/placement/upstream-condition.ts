/** State of one upstream as seen by one instance: its load, the instance's requests in flight there, failures and reachability. */
import {AdvisoryRecord} from '../advisories/advisory-record.js';
import {AdvertisedRate} from '../limits/advertised-rate.js';
import type {Clock} from '../model/clock.js';
import type {LoadReport} from './load-report.js';
import {InFlightRequests, type InFlightRequest} from './in-flight-requests.js';
import {WarmupState} from './warmup-state.js';

/** Lifetime of a load report: the load of an upstream's neighbours changes about twice a second, so an older report is of little use. */
export const reportLifetimeMs = 400;
/** Half-life of the failure ratio. */
const failureHalfLifeMs = 3000;
/** Time after which an unreachable upstream is checked again; doubles with each further failure up to `maximumBackoffMs`. */
const firstBackoffMs = 100;
const maximumBackoffMs = 1600;
/** Weight of one answer in the failure ratio, which is a moving average over recent answers. */
const failureStep = 0.25;
/**
 * Weight of a failure where a later attempt at another upstream was answered first. It ranks the upstream behind equal ones for some
 * seconds; without it, an upstream that hangs but reports free slots would be chosen again and again.
 */
const supersededStep = 0.1;
/** Weight of an aborted health check: a fifth of that of a failed request, as it is a weaker sign of a failure. */
const abortedCheckStep = 0.05;
/**
 * A health check is answered within about 10 ms, or 14 ms on a new connection to another availability zone. One that takes longer
 * than this means that the upstream is down, partitioned or frozen, or that packets were lost.
 */
const maximumCheckMs = 20;
const ln2 = Math.LN2;

/** Mutable state of one upstream, owned by the task that sends requests to it. */
export class UpstreamCondition {
	readonly warmup: WarmupState;
	readonly advertisedRate: AdvertisedRate;
	readonly advisories: AdvisoryRecord;
	readonly #clock: Clock;
	readonly #ownRequests: InFlightRequests;
	readonly #onUnreachable: () => void;
	#report: LoadReport | undefined;
	#reportAtMs = Number.NEGATIVE_INFINITY;
	#reportCount = 0;
	#reportsLoad = false;
	#failureRatio = 0;
	#failureAtMs = 0;
	#unreachableCount = 0;
	#checkDueAtMs = Number.NEGATIVE_INFINITY;
	#checkSentAtMs: number | undefined;
	#unreportedInFlight = 0;

	/**
	 * @param onUnreachable - called when the upstream could not be reached, so that it gets a health check once that is due
	 * @param remainingWarmupMs - remaining warm-up time, as far as known
	 * @param advisories - earlier advisories of the upstream; none by default
	 */
	constructor(clock: Clock, onUnreachable: () => void = () => undefined, remainingWarmupMs = 0, advisories = new AdvisoryRecord(clock)) {
		this.#clock = clock;
		this.warmup = new WarmupState(clock, remainingWarmupMs);
		this.advertisedRate = new AdvertisedRate(clock);
		this.advisories = advisories;
		this.#ownRequests = new InFlightRequests(clock);
		this.#onUnreachable = onUnreachable;
	}

	/** The last load report until it expires; for an upstream that reports no load, a report inferred from its answers. */
	get report(): LoadReport | undefined {
		if (this.reportAgeMs > reportLifetimeMs || this.#report === undefined) {
			return undefined;
		}

		return this.#reportsLoad ? this.#report : {...this.#report, slowness: this.#ownRequests.slowness};
	}

	/** Whether the upstream reports its load, so that its speed is known from its reports. */
	get reportsLoad(): boolean {
		return this.#reportsLoad;
	}

	get reportAgeMs(): number {
		return this.#clock.monotonicMs() - this.#reportAtMs;
	}

	/** Share of recent answers that were failures; decays with time. */
	get failureRatio(): number {
		const elapsedMs = this.#clock.monotonicMs() - this.#failureAtMs;
		return this.#failureRatio * Math.exp(-ln2 * elapsedMs / failureHalfLifeMs);
	}

	/** Requests of this instance in flight there that the report doesn't count. */
	get unreportedInFlight(): number {
		return this.#unreportedInFlight;
	}

	/** Whether the upstream could not be reached and has not answered since. */
	get isUnreachable(): boolean {
		return this.#unreachableCount > 0;
	}

	/** Whether the upstream is unreachable and may be checked again. */
	get isHealthCheckDue(): boolean {
		return this.isUnreachable && this.#checkSentAtMs === undefined && this.#clock.monotonicMs() >= this.#checkDueAtMs;
	}

	/** Whether a health check is running. */
	get isBeingChecked(): boolean {
		return this.#checkSentAtMs !== undefined;
	}

	/** Makes the next check of an unreachable upstream due at once. */
	recheckAtOnce(): void {
		this.#checkDueAtMs = this.#clock.monotonicMs();
	}

	/** Time until an unreachable upstream is checked again; 0 if that is due. */
	get checkDueInMs(): number {
		return Math.max(0, this.#checkDueAtMs - this.#clock.monotonicMs());
	}

	/** Whether a health check or a request of this instance has been in flight there for longer than one normally takes. */
	get isUnresponsive(): boolean {
		const isCheckLate = this.#checkSentAtMs !== undefined && this.#clock.monotonicMs() - this.#checkSentAtMs >= maximumCheckMs;
		return isCheckLate || this.#ownRequests.hasOverdue;
	}

	/**
	 * Records that a request was sent.
	 *
	 * @param workMs - expected work at usual speed
	 * @param expectedMs - expected time until the answer, as estimated now
	 * @returns the value to pass to {@link recordRequestEnd}
	 */
	recordRequestSent(workMs: number, expectedMs: number = workMs): InFlightRequest {
		this.#unreportedInFlight += 1;
		return this.#ownRequests.add(workMs, expectedMs, this.#reportCount);
	}

	/** @param isComplete - whether the request ran to its end; one that was cancelled when overdue counts as a failure */
	recordRequestEnd(request: InFlightRequest, isComplete: boolean): void {
		if (!isComplete && this.#ownRequests.isOverdue(request)) {
			this.recordFailure();
		}

		this.#ownRequests.remove(request, isComplete);
		if (request.reportCount === this.#reportCount) {
			this.#unreportedInFlight -= 1;
		}
	}

	/** Records a load report, which includes the requests of this instance. */
	recordLoadReport(report: LoadReport): void {
		this.#reportsLoad = true;
		this.#reportCount += 1;
		this.#unreportedInFlight = 0;
		this.#setReport(report);
		this.recordReachable();
	}

	/** Records that a health check was sent. */
	recordHealthCheckSent(): void {
		this.#checkSentAtMs ??= this.#clock.monotonicMs();
	}

	/** Records a health check that was answered without a load report. Such a check waits for a slot, so one is free. */
	recordHealthCheckPassed(slots: number): void {
		this.recordReachable();
		this.#setInferredReport({
			running: 0, waiting: 0, slots, slowness: 1,
		});
	}

	/**
	 * Records that the upstream refused a request. It counts as a failure even where the upstream reports free slots, so that others are
	 * tried first and the upstream doesn't use up the retry budget. An upstream that reports no load is assumed to have no free slot.
	 */
	recordRefusal(slots: number): void {
		this.recordReachable();
		this.recordFailure();
		this.#setInferredReport({
			running: slots, waiting: slots, slots, slowness: 1,
		});
	}

	recordSuccess(): void {
		this.recordReachable();
		this.#setFailureRatio(this.failureRatio * (1 - failureStep));
	}

	recordFailure(): void {
		this.#addFailure(failureStep);
	}

	/** Records that a request was cancelled because a later attempt at another upstream was answered first. */
	recordSuperseded(): void {
		this.#addFailure(supersededStep);
	}

	/** Records that the upstream can be reached. */
	recordReachable(): void {
		this.#checkSentAtMs = undefined;
		this.#unreachableCount = 0;
	}

	/**
	 * Records that the upstream accepted a connection but aborted a health check. Its load is then unknown, and other upstreams are
	 * preferred. It doesn't count as unreachable: upstreams that abort health checks but serve everything else are common, and one
	 * that has crashed accepts no further connections.
	 */
	recordHealthCheckAborted(): void {
		this.#checkSentAtMs = undefined;
		this.#reportAtMs = Number.NEGATIVE_INFINITY;
		this.#addFailure(abortedCheckStep);
	}

	/** Records that no connection could be made, or that a health check got no answer. */
	recordUnreachable(): void {
		const backoffMs = Math.min(maximumBackoffMs, firstBackoffMs * (2 ** this.#unreachableCount));
		this.#checkSentAtMs = undefined;
		this.warmup.markUncertain();
		this.#unreachableCount += 1;
		this.#checkDueAtMs = this.#clock.monotonicMs() + backoffMs;
		this.#reportAtMs = Number.NEGATIVE_INFINITY;
		this.#onUnreachable();
	}

	#setInferredReport(report: LoadReport): void {
		if (!this.#reportsLoad) {
			this.#setReport(report);
		}
	}

	#setReport(report: LoadReport): void {
		this.#report = report;
		this.#reportAtMs = this.#clock.monotonicMs();
	}

	#addFailure(step: number): void {
		this.#setFailureRatio(this.failureRatio + ((1 - this.failureRatio) * step));
	}

	#setFailureRatio(ratio: number): void {
		this.#failureRatio = ratio;
		this.#failureAtMs = this.#clock.monotonicMs();
	}
}
