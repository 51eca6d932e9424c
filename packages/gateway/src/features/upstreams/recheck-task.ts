/** Probes upstreams that can't be reached, or to which the links are lost, until they answer, so that no request has to wait for them. */
import {ok, type Result} from 'neverthrow';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {LinkMonitor} from './link-monitor.js';
import type {Upstream} from './upstream.js';

/** Half of the shortest pause before an upstream is checked again. */
const recheckIntervalMs = 50;

export type RecheckTaskOptions = {
	/** Returns the upstreams that may be probed. */
	readonly upstreams: () => readonly Upstream[];
	readonly prober: Readonly<Record<'probe' | 'checkOwnLink', (upstream: Upstream) => Promise<unknown>>>;
	/** Tells upstreams that can't be used because links are lost; no connection to one of them need have failed. */
	readonly links: Pick<LinkMonitor, 'isLost' | 'mayUse'>;
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
		const avoided = this.#options.upstreams().filter(upstream => this.#isAvoided(upstream));
		const due = avoided.filter(({condition}) => condition.isHealthCheckDue);
		for (const upstream of new Set([...due, ...this.#nextOfLost(avoided)])) {
			void this.#options.prober.probe(upstream);
		}

		const relayed = this.#options.upstreams().filter(({pool}) => pool.path.isRelayed);
		for (const upstream of relayed.filter(({pool}) => pool.path.isOwnLinkCheckDue)) {
			void this.#options.prober.checkOwnLink(upstream);
		}

		if (avoided.length + relayed.length > 0) {
			this.schedule();
		}
	}

	#isAvoided(upstream: Upstream): boolean {
		const {condition} = upstream;
		return condition.advisories.availability.type !== 'leaving' && (condition.isUnreachable || !this.#options.links.mayUse(upstream));
	}

	/** Returns one upstream to which the link is lost, in turn: while no link works, waiting for longer and longer times would delay the first request served. */
	#nextOfLost(avoided: readonly Upstream[]): readonly Upstream[] {
		const lost = avoided.filter(({registered}) => this.#options.links.isLost(registered.service));
		this.#turn += 1;
		return lost.slice(this.#turn % Math.max(1, lost.length)).slice(0, 1);
	}
}
