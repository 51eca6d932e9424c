/** Applies the advisories in the answers of upstreams, such as leaving or back-off, to their condition. */
import type {UpstreamAdvisory} from '@cairnbank/core/advisories';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {advisoriesOf} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';
import type {Upstream} from './upstream.js';

export type AdvisorySource = 'answer' | 'health-check';

export type AdvisoriesOptions = {
	readonly context: Pick<Context, 'logger' | 'metrics'>;
	readonly dialect: RequestDialect;
};

export class Advisories {
	readonly #options: AdvisoriesOptions;

	constructor(options: AdvisoriesOptions) {
		this.#options = options;
	}

	/** Handles an answer that is known to be the upstream's own. */
	received(upstream: Upstream, answer: UpstreamAnswer, source: AdvisorySource): void {
		const {dialect, context: {metrics}} = this.#options;
		const {advisories, unreadable} = advisoriesOf(answer, dialect);
		for (const header of unreadable) {
			metrics.unreadableAdvisories.inc({header});
		}

		for (const advisory of advisories) {
			metrics.advisories.inc({type: advisory.type, source});
			this.#learn(upstream, advisory, source);
		}
	}

	#learn({registered: {id, service}, condition}: Upstream, advisory: UpstreamAdvisory, source: AdvisorySource): void {
		if (condition.advisories.update(advisory)) {
			this.#options.context.logger.info('upstream advised', {
				upstream: id, service, source, ...advisory,
			});
		}
	}
}
