/** Judges from the results of one instance's own connections whether it has lost its links to the upstreams of a service. */
import type {Clock} from '../model/clock.js';
import type {UpstreamId} from '../model/ids.js';

/** Upstreams that have to fail without an answer of any other in between; fewer may well have crashed at the same time. */
const minimumFailures = 4;
/** Shortest time without any answer where all connections were refused. */
const minimumRefusedMs = 40;
/** Shortest time without any answer otherwise. Instances and upstreams that are short of processor time answer late. */
const minimumSilenceMs = 150;
/** Upstreams that have to answer before the links count as regained. */
const minimumAnswers = 2;

type Failing = {
	/** Time of the first failure. */
	readonly sinceMs: number;
	/** Time of the last failure. */
	readonly lastMs: number;
	/** Whether the last failure was that nothing came back in time. */
	readonly isSilent: boolean;
};

export class LinkHealth {
	readonly #clock: Clock;
	/** Upstreams that have not answered since they began to fail. */
	readonly #failing = new Map<UpstreamId, Failing>();
	/** Upstreams that have answered since the links were lost. */
	readonly #answering = new Set<UpstreamId>();
	#answeredAtMs = Number.NEGATIVE_INFINITY;
	#lostAtMs: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Time at which the links were lost; undefined while they are not. */
	get lostAtMs(): number | undefined {
		return this.#lostAtMs;
	}

	/** Time of the last answer of any upstream. */
	get answeredAtMs(): number {
		return this.#answeredAtMs;
	}

	/** Number of upstreams that have failed since the last answer of any upstream. */
	get failures(): number {
		return this.#count(({lastMs}) => lastMs >= this.#answeredAtMs);
	}

	recordAnswer(upstream: UpstreamId): void {
		this.#failing.delete(upstream);
		this.#answeredAtMs = this.#clock.monotonicMs();
		if (this.#lostAtMs !== undefined) {
			this.#answering.add(upstream);
		}
	}

	/**
	 * Records that no connection could be made or that a health check got no answer in time.
	 *
	 * @param isSilent - whether nothing came back; otherwise the connection was refused
	 */
	recordFailure(upstream: UpstreamId, isSilent: boolean): void {
		this.#answering.delete(upstream);
		const nowMs = this.#clock.monotonicMs();
		this.#failing.set(upstream, {sinceMs: this.#failing.get(upstream)?.sinceMs ?? nowMs, lastMs: nowMs, isSilent});
	}

	/** Forgets an upstream that has left. */
	forget(upstream: UpstreamId): void {
		this.#failing.delete(upstream);
		this.#answering.delete(upstream);
	}

	/** Whether an upstream has answered since the links were lost and has not failed again. */
	hasAnsweredSinceLoss(upstream: UpstreamId): boolean {
		return this.#answering.has(upstream);
	}

	/**
	 * Judges the links anew.
	 *
	 * @param upstreams - number of upstreams of the service
	 * @returns whether the links were lost or regained just now
	 */
	evaluate(upstreams: number): 'lost' | 'regained' | 'unchanged' {
		if (this.#lostAtMs === undefined) {
			return this.#detectLoss(upstreams);
		}

		if (this.#answering.size < Math.min(minimumAnswers, upstreams)) {
			return 'unchanged';
		}

		this.#lostAtMs = undefined;
		this.#answering.clear();
		return 'regained';
	}

	/**
	 * Detects a loss by upstreams that have begun to fail since the last answer, as others may have crashed before; or by failures of at
	 * least half of all upstreams.
	 */
	#detectLoss(upstreams: number): 'lost' | 'unchanged' {
		const nowMs = this.#clock.monotonicMs();
		const needed = Math.min(minimumFailures, upstreams);
		const isNew = ({sinceMs}: Failing) => sinceMs >= this.#answeredAtMs;
		const hasFailures = this.#count(isNew) >= needed || this.failures >= Math.max(needed, upstreams / 2);
		const firstFailureMs = Math.min(...[...this.#failing.values()].filter(failing => isNew(failing)).map(({sinceMs}) => sinceMs));
		const silenceMs = this.#count(failing => failing.isSilent && failing.lastMs >= this.#answeredAtMs) > 0 ? minimumSilenceMs : minimumRefusedMs;
		const isSilent = nowMs - Math.max(this.#answeredAtMs, Number.isFinite(firstFailureMs) ? firstFailureMs : this.#answeredAtMs) >= silenceMs;
		if (upstreams === 0 || !hasFailures || !isSilent) {
			return 'unchanged';
		}

		this.#lostAtMs = nowMs;
		return 'lost';
	}

	#count(isCounted: (failing: Failing) => boolean): number {
		return [...this.#failing.values()].filter(failing => isCounted(failing)).length;
	}
}
