/** Checks upstreams that could not be reached, so that no request waits for one that is still away. */
import {ok, type Result} from 'neverthrow';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {Upstream} from './upstream.js';

/** Half of the shortest pause before an upstream is checked again. */
const intervalMs = 50;

export type RecheckTaskOptions = {
	readonly upstreams: () => Iterable<Upstream>;
	readonly probe: (upstream: Upstream) => Promise<unknown>;
};

export class RecheckTask implements Task {
	readonly name = 'recheck';
	readonly #options: RecheckTaskOptions;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: RecheckTaskOptions) {
		this.#options = options;
	}

	async start(): Promise<Result<void, StartError>> {
		this.#timer = setInterval(() => {
			this.#checkDue();
		}, intervalMs);
		return ok(undefined);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	#checkDue(): void {
		for (const upstream of this.#options.upstreams()) {
			if (upstream.condition.isCheckDue) {
				void this.#options.probe(upstream);
			}
		}
	}
}
