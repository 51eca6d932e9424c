/** Checks upstreams that could not be reached, so that no request waits for one that is still away. */
import {ok, type Result} from 'neverthrow';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {Upstream} from './upstream.js';

/** Half of the shortest pause before an upstream is checked again. */
const intervalMs = 50;

export type RecheckTaskOptions = {
	/** Those that may be checked. */
	readonly upstreams: () => readonly Upstream[];
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
		return ok(undefined);
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	/** An upstream could not be reached, or may be checked again. While none is, an idle instance need not wake up 20 times a second. */
	wake(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#checkDue();
		}, intervalMs);
	}

	#checkDue(): void {
		const avoided = this.#options.upstreams().filter(({condition}) => condition.isUnreachable && condition.advisories.availability.type !== 'leaving');
		for (const upstream of avoided.filter(({condition}) => condition.isHealthCheckDue)) {
			void this.#options.probe(upstream);
		}

		if (avoided.length > 0) {
			this.wake();
		}
	}
}
