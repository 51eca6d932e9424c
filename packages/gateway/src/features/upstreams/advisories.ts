/** Learns from each answer what its upstream advises. */
import type {UpstreamAdvisory} from '@cairnbank/core/advisories';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {advisoriesOf, type UpstreamAnswer} from './exchange.js';
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

	/** An upstream has answered; the answer is its own. */
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
