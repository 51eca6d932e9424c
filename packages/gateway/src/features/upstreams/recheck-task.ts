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
	/** Whether this instance has lost its links to all upstreams of the same service. */
	readonly isLinkLost: (upstream: Upstream) => boolean;
	/** Checks the own link to an upstream that is reached through another instance. */
	readonly checkOwnLink: (upstream: Upstream) => Promise<unknown>;
};

export class RecheckTask implements Task {
	readonly name = 'recheck';
	readonly #options: RecheckTaskOptions;
	#timer: NodeJS.Timeout | undefined;
	#turn = 0;

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
		const due = avoided.filter(({condition}) => condition.isHealthCheckDue);
		for (const upstream of new Set([...due, ...this.#nextOfLost(avoided)])) {
			void this.#options.probe(upstream);
		}

		const relayed = this.#options.upstreams().filter(({pool}) => pool.path.isRelayed);
		for (const upstream of relayed.filter(({pool}) => pool.path.isOwnLinkCheckDue)) {
			void this.#options.checkOwnLink(upstream);
		}

		if (avoided.length + relayed.length > 0) {
			this.schedule();
		}
	}

	/** Returns one upstream to which the link is lost, in turn: while no link works, waiting for longer and longer times would delay the first request served. */
	#nextOfLost(avoided: readonly Upstream[]): readonly Upstream[] {
		const lost = avoided.filter(upstream => this.#options.isLinkLost(upstream));
		this.#turn += 1;
		return lost.slice(this.#turn % Math.max(1, lost.length)).slice(0, 1);
	}
}
