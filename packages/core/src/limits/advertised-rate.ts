/** The rate limit that an upstream advertises in its answers, as far as an instance knows; in force until it is lifted. */

export type AdvertisedLimit =
	| {readonly type: 'none'}
	/** Requests that the upstream takes from all instances together. */
	| {readonly type: 'limited'; readonly requestsPerSecond: number};

/** What an upstream has said at one moment. */
export type RateStatement = {
	readonly limit: AdvertisedLimit;
	/** Of the monotonic clock. */
	readonly atMs: number;
};

export class AdvertisedRate {
	#statement: RateStatement | undefined;

	/** Nothing where no limit is in force. */
	get requestsPerSecond(): number | undefined {
		const limit = this.#statement?.limit;
		return limit?.type === 'limited' ? limit.requestsPerSecond : undefined;
	}

	/** The last statement of the upstream; nothing where it never advertised a limit. */
	get statement(): RateStatement | undefined {
		return this.#statement;
	}

	/**
	 * Takes in a statement, in whatever order statements arrive.
	 *
	 * @returns whether it is newer than what was known
	 */
	learn(statement: RateStatement): boolean {
		if (this.#statement === undefined ? statement.limit.type === 'none' : !isNewer(statement, this.#statement)) {
			return false;
		}

		this.#statement = statement;
		return true;
	}
}

/** Of two statements of the same moment the stricter kind holds. */
function isNewer(statement: RateStatement, known: RateStatement): boolean {
	return statement.atMs > known.atMs || (statement.atMs === known.atMs && statement.limit.type === 'limited');
}
