/** What one instance knows of one upstream: its last load report, own requests there, failures. */
import type {Clock} from '../model/clock.js';
import type {LoadReport} from './load-report.js';

/** Neighbours of an upstream change their load about twice a second: a report says little after that. */
const reportLifetimeMs = 400;
/** Time in which half of the blame for a failure fades. */
const failureHalfLifeMs = 3000;
/** Time without new requests after an upstream could not be reached; doubles with each further time. */
const firstBackoffMs = 100;
const maximumBackoffMs = 1600;
/** Blame that a failed answer adds; a mean share of failures over recent answers. */
const failureStep = 0.25;
const ln2 = Math.LN2;

/** Mutable record of one upstream; owned by the task that sends to it. */
export class UpstreamCondition {
	readonly #clock: Clock;
	#report: LoadReport | undefined;
	#reportAtMs = Number.NEGATIVE_INFINITY;
	#failureRatio = 0;
	#failureAtMs = 0;
	#unreachableCount = 0;
	#unreachableUntilMs = Number.NEGATIVE_INFINITY;
	#unreportedInFlight = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** The last report while it is worth something. */
	get report(): LoadReport | undefined {
		return this.reportAgeMs <= reportLifetimeMs ? this.#report : undefined;
	}

	get reportAgeMs(): number {
		return this.#clock.monotonicMs() - this.#reportAtMs;
	}

	/** Share of recent answers that were failures, fading with time. */
	get failureRatio(): number {
		const elapsedMs = this.#clock.monotonicMs() - this.#failureAtMs;
		return this.#failureRatio * Math.exp(-ln2 * elapsedMs / failureHalfLifeMs);
	}

	/** Own requests sent since the last report, which doesn't count them. */
	get unreportedInFlight(): number {
		return this.#unreportedInFlight;
	}

	/** It could not be reached lately and is left alone for a moment. */
	get isAvoided(): boolean {
		return this.#clock.monotonicMs() < this.#unreachableUntilMs;
	}

	sent(): void {
		this.#unreportedInFlight += 1;
	}

	reported(report: LoadReport): void {
		this.#report = report;
		this.#unreportedInFlight = 0;
		this.#reportAtMs = this.#clock.monotonicMs();
		this.#unreachableCount = 0;
		this.#unreachableUntilMs = Number.NEGATIVE_INFINITY;
	}

	succeeded(): void {
		this.#setFailureRatio(this.failureRatio * (1 - failureStep));
	}

	failed(): void {
		this.#setFailureRatio(this.failureRatio + ((1 - this.failureRatio) * failureStep));
	}

	/** No connection, or no answer to a probe. */
	unreachable(): void {
		const backoffMs = Math.min(maximumBackoffMs, firstBackoffMs * (2 ** this.#unreachableCount));
		this.#unreachableCount += 1;
		this.#unreachableUntilMs = this.#clock.monotonicMs() + backoffMs;
		this.#reportAtMs = Number.NEGATIVE_INFINITY;
	}

	#setFailureRatio(ratio: number): void {
		this.#failureRatio = ratio;
		this.#failureAtMs = this.#clock.monotonicMs();
	}
}
