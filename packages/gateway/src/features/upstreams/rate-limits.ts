/** Rate limits that upstreams advertise: learns them from answers, and logs what changes. */
import type {AdvertisedLimit, RateStatement} from '@cairnbank/core/limits';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {rateLimitOf, type UpstreamAnswer} from './exchange.js';
import type {Upstream} from './upstream.js';

/** A limit that drifts by less is not logged again. */
const loggedChangeRatio = 1.25;

export type RateLimitsOptions = {
	readonly context: Pick<Context, 'clock' | 'logger'>;
	readonly dialect: RequestDialect;
};

/** The answer to a request. */
export type AnsweredRequest = {
	readonly answer: UpstreamAnswer;
	readonly sentAtMs: number;
	/** It is whole and the upstream's own, so that a limit that it doesn't advertise is not in force. */
	readonly isSuccess: boolean;
};

export class RateLimits {
	readonly #options: RateLimitsOptions;

	constructor(options: RateLimitsOptions) {
		this.#options = options;
	}

	/** An upstream has answered a request. */
	answered(upstream: Upstream, {answer, sentAtMs, isSuccess}: AnsweredRequest): void {
		const limit = rateLimitOf(answer, this.#options.dialect);
		if (limit?.type === 'limited') {
			this.#learn(upstream, {limit, atMs: this.#options.context.clock.monotonicMs()});
		} else if (limit !== undefined && isSuccess) {
			// The answer may have been written any time after the request was sent.
			this.#learn(upstream, {limit, atMs: sentAtMs});
		}
	}

	/** An upstream has answered a health check, which need not carry the limit in force. */
	checked(upstream: Upstream, answer: UpstreamAnswer): void {
		const limit = rateLimitOf(answer, this.#options.dialect);
		if (limit?.type === 'limited') {
			this.#learn(upstream, {limit, atMs: this.#options.context.clock.monotonicMs()});
		}
	}

	#learn({registered: {id, service}, condition: {advertisedRate}}: Upstream, statement: RateStatement): void {
		const before = advertisedRate.requestsPerSecond;
		if (advertisedRate.learn(statement) && isMaterial(before, statement.limit)) {
			this.#options.context.logger.info('upstream rate limit changed', {
				upstream: id, service, requestsPerSecond: advertisedRate.requestsPerSecond ?? 'none', before: before ?? 'none', source: 'answer',
			});
		}
	}
}

function isMaterial(before: number | undefined, after: AdvertisedLimit): boolean {
	if (before === undefined || after.type === 'none') {
		return before !== undefined || after.type !== 'none';
	}

	const {requestsPerSecond} = after;
	return requestsPerSecond > before * loggedChangeRatio || requestsPerSecond * loggedChangeRatio < before;
}
