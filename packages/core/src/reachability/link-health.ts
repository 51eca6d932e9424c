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
		return this.#failuresSinceAnswer.length;
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
		if (upstreams === 0 || !this.#hasEnoughFailures(upstreams) || !this.#isSilent) {
			return 'unchanged';
		}

		this.#lostAtMs = this.#clock.monotonicMs();
		return 'lost';
	}

	#hasEnoughFailures(upstreams: number): boolean {
		const needed = Math.min(minimumFailures, upstreams);
		const newFailures = this.#failuresSinceAnswer.filter(({sinceMs}) => sinceMs >= this.#answeredAtMs).length;
		return newFailures >= needed || this.failures >= Math.max(needed, upstreams / 2);
	}

	/** Whether no upstream has answered for long enough, counted from the last answer or the first failure. */
	get #isSilent(): boolean {
		const failures = this.#failuresSinceAnswer;
		const requiredMs = failures.some(({isSilent}) => isSilent) ? minimumSilenceMs : minimumRefusedMs;
		const silentSinceMs = Math.min(...failures.map(({sinceMs}) => Math.max(sinceMs, this.#answeredAtMs)));
		return this.#clock.monotonicMs() - silentSinceMs >= requiredMs;
	}

	get #failuresSinceAnswer(): readonly Failing[] {
		return [...this.#failing.values()].filter(({lastMs}) => lastMs >= this.#answeredAtMs);
	}
}
