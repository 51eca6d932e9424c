/** The rate limit that an upstream advertises in its answers, as far as an instance knows; in force until it is lifted. */
import type {Clock} from '../model/clock.js';

/** While a limit is in force those that use the upstream renew it; after this time nobody has used it, or this instance heard nobody. */
const statementLifetimeMs = 30_000;
/** Other instances hear again of a limit in force, so that those that missed it or have started since know it too. */
const repeatIntervalMs = 2000;
/** How long they hear again that a limit was lifted: one that missed it would leave the upstream alone. */
const liftRepeatedForMs = 10_000;
/** A limit that drifts by less is no other limit. */
const materialRatio = 1.25;

export type AdvertisedLimit =
	| {readonly type: 'none'}
	/** Requests that the upstream takes from all instances together. */
	| {readonly type: 'limited'; readonly requestsPerSecond: number};

/** What an upstream has said at one moment. */
export type RateAdvertisement = {
	readonly limit: AdvertisedLimit;
	/** Of the monotonic clock. */
	readonly atMs: number;
};

/** What a statement has changed. */
export type RateChange = {
	/** Requests a second, or nothing where no limit is in force. */
	readonly before: number | undefined;
	readonly after: number | undefined;
};

export class AdvertisedRate {
	readonly #clock: Clock;
	#statement: RateAdvertisement | undefined;
	#changedAtMs = Number.NEGATIVE_INFINITY;
	#sharedAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Nothing where no limit is in force. */
	get requestsPerSecond(): number | undefined {
		const current = this.#statement;
		if (current?.limit.type !== 'limited' || this.#clock.monotonicMs() - current.atMs > statementLifetimeMs) {
			return undefined;
		}

		return current.limit.requestsPerSecond;
	}

	/** The last statement of the upstream; nothing where it never advertised a limit. */
	get latest(): RateAdvertisement | undefined {
		return this.#statement;
	}

	/**
	 * Takes in a statement, in whatever order statements arrive.
	 *
	 * @returns what it has changed; nothing where it is older than what is known, or says much the same
	 */
	update(statement: RateAdvertisement): RateChange | undefined {
		if (this.#statement === undefined ? statement.limit.type === 'none' : !isNewer(statement, this.#statement)) {
			return undefined;
		}

		const before = this.requestsPerSecond;
		this.#statement = statement;
		const after = this.requestsPerSecond;
		if (!isMaterial(before, after)) {
			return undefined;
		}

		this.#changedAtMs = this.#clock.monotonicMs();
		return {before, after};
	}

	/** Other instances have heard of the last statement, from this one or another. */
	markShared(): void {
		this.#sharedAtMs = this.#clock.monotonicMs();
	}

	/** Other instances are to hear of the last statement: it has changed something, or some may have missed it. */
	get isShareDue(): boolean {
		const nowMs = this.#clock.monotonicMs();
		if (this.#statement === undefined) {
			return false;
		}

		const isRepeated = this.#statement.limit.type === 'limited' || nowMs - this.#changedAtMs < liftRepeatedForMs;
		return this.#changedAtMs > this.#sharedAtMs || (isRepeated && nowMs - this.#sharedAtMs >= repeatIntervalMs);
	}
}

/** Of two statements of the same moment the stricter kind holds. */
function isNewer(statement: RateAdvertisement, known: RateAdvertisement): boolean {
	return statement.atMs > known.atMs || (statement.atMs === known.atMs && statement.limit.type === 'limited');
}

function isMaterial(before: number | undefined, after: number | undefined): boolean {
	if (before === undefined || after === undefined) {
		return before !== after;
	}

	return after > before * materialRatio || after * materialRatio < before;
}
