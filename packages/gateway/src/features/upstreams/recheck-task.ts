/** Probes unreachable upstreams until they answer, so that no request has to wait for one that is still unreachable. */
import {ok, type Result} from 'neverthrow';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {Upstream} from './upstream.js';

/** Half of the shortest pause before an upstream is checked again. */
const recheckIntervalMs = 50;

export type RecheckTaskOptions = {
	/** Returns the upstreams that may be probed. */
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

	/** Schedules the next check. Called when an upstream becomes unreachable or may be probed again, so that an idle instance need not wake up 20 times a second. */
	schedule(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#probeDueUpstreams();
		}, recheckIntervalMs);
	}

	#probeDueUpstreams(): void {
		const avoided = this.#options.upstreams().filter(({condition}) => condition.isUnreachable && condition.advisories.availability.type !== 'leaving');
		for (const upstream of avoided.filter(({condition}) => condition.isHealthCheckDue)) {
			void this.#options.probe(upstream);
		}

		if (avoided.length > 0) {
			this.schedule();
		}
	}
}
