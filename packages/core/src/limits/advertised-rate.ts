/** Tracks the rate limit that an upstream advertises in its answers. A limit stays in force until the upstream lifts it or it lapses because no instance renews it. */
import type {Clock} from '../model/clock.js';

/** Time after which a limit lapses. Instances that use the upstream renew it, so by then none has used it, or this instance heard from none. */
const advertisementLifetimeMs = 30_000;
/** Interval at which a limit in force is sent to other instances again, for those that missed it or have started since. */
const repeatIntervalMs = 2000;
/** Time for which the removal of a limit is sent again: an instance that missed it would leave the upstream unused. */
const removalRepeatDurationMs = 10_000;
/** Changes of a limit by a smaller factor are not reported. */
const significantRatio = 1.25;

export type AdvertisedLimit =
	| {readonly type: 'none'}
	/** Requests a second that the upstream accepts from all instances together. */
	| {readonly type: 'limited'; readonly requestsPerSecond: number};

/** Limit that an upstream advertised, with the time. */
export type RateAdvertisement = {
	readonly limit: AdvertisedLimit;
	/** Time on the monotonic clock. */
	readonly atMs: number;
};

/** Change of the limit in force. */
export type RateChange = {
	/** Requests a second; `undefined` if no limit is in force. */
	readonly before: number | undefined;
	readonly after: number | undefined;
};

export class AdvertisedRate {
	readonly #clock: Clock;
	#latest: RateAdvertisement | undefined;
	#changedAtMs = Number.NEGATIVE_INFINITY;
	#sharedAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** The limit in force; `undefined` if there is none. */
	get requestsPerSecond(): number | undefined {
		const current = this.#latest;
		if (current?.limit.type !== 'limited' || this.#clock.monotonicMs() - current.atMs > advertisementLifetimeMs) {
			return undefined;
		}

		return current.limit.requestsPerSecond;
	}

	/** The latest advertisement of the upstream; `undefined` if it has never advertised a limit. */
	get latest(): RateAdvertisement | undefined {
		return this.#latest;
	}

	/**
	 * Applies an advertisement. Advertisements may arrive in any order.
	 *
	 * @returns the change of the limit; `undefined` if the advertisement is outdated or the limit hardly changes
	 */
	update(advertisement: RateAdvertisement): RateChange | undefined {
		if (this.#latest === undefined ? advertisement.limit.type === 'none' : !isNewer(advertisement, this.#latest)) {
			return undefined;
		}

		const before = this.requestsPerSecond;
		this.#latest = advertisement;
		const after = this.requestsPerSecond;
		if (!isSignificant(before, after)) {
			return undefined;
		}

		this.#changedAtMs = this.#clock.monotonicMs();
		return {before, after};
	}

	/** Records that the latest advertisement has been sent to the other instances, by this one or another. */
	markShared(): void {
		this.#sharedAtMs = this.#clock.monotonicMs();
	}

	/** Whether to send the latest advertisement to the other instances, as it changed the limit or some of them may have missed it. */
	get isShareDue(): boolean {
		const nowMs = this.#clock.monotonicMs();
		if (this.#latest === undefined) {
			return false;
		}

		const isRepeated = this.#latest.limit.type === 'limited' || nowMs - this.#changedAtMs < removalRepeatDurationMs;
		return this.#changedAtMs > this.#sharedAtMs || (isRepeated && nowMs - this.#sharedAtMs >= repeatIntervalMs);
	}
}

/** Of two advertisements at the same time, one with a limit replaces one without. */
function isNewer(advertisement: RateAdvertisement, known: RateAdvertisement): boolean {
	return advertisement.atMs > known.atMs || (advertisement.atMs === known.atMs && advertisement.limit.type === 'limited');
}

function isSignificant(before: number | undefined, after: number | undefined): boolean {
	if (before === undefined || after === undefined) {
		return before !== after;
	}

	return after > before * significantRatio || after * significantRatio < before;
}
