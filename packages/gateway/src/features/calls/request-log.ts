/** Counts and logs the outcomes of requests. */
import type {Context} from '../../kernel/context.js';
import type {LogFields} from '../../logging/create-logger.js';
import type {Outcome} from './outcome.js';

const firstServerErrorStatus = 500;

export class RequestLog {
	readonly #context: Pick<Context, 'logger' | 'metrics' | 'settings'>;
	#uneventfulRequests = 0;

	constructor(context: Pick<Context, 'logger' | 'metrics' | 'settings'>) {
		this.#context = context;
	}

	/** @param hasSingleAttempt - whether exactly one attempt was sent; such requests are sampled if they end well */
	record(outcome: Outcome, fields: LogFields, hasSingleAttempt: boolean): void {
		const {metrics, logger, settings: {logging: {sampleOneIn}}} = this.#context;
		const reason = 'reason' in outcome ? outcome.reason : '';
		metrics.requests.inc({outcome: outcome.type, reason});
		const isServed = hasSingleAttempt && outcome.type === 'answered' && outcome.answer.status < firstServerErrorStatus;
		// An account that is limited has a line of its own where that begins and ends.
		const isUneventful = isServed || outcome.type === 'limited';
		this.#uneventfulRequests += isUneventful ? 1 : 0;
		if (!isUneventful || (sampleOneIn > 0 && this.#uneventfulRequests % sampleOneIn === 0)) {
			const status = outcome.type === 'answered' ? outcome.answer.status : undefined;
			logger.info('request', {
				...fields, outcome: outcome.type, reason, status,
			});
		}
	}
}
