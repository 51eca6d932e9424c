/** State of the path on which an instance reaches one upstream: its own link, or another instance that passes requests on. */
import type {Clock} from '../model/clock.js';

/** Time after which the own link of a relayed upstream is checked again; doubles with each failure up to `maximumCheckMs`. */
const firstCheckMs = 200;
const maximumCheckMs = 1600;
/** An own link is used again only once it has worked for this time, so that links that come and go are not used in between. */
const stableMs = 1000;
/** Interval between the checks of an own link that works again. */
const stabilityCheckMs = 250;

export class PathState {
	readonly #clock: Clock;
	#isRelayed = false;
	/** Whether the next check of an upstream that can't be reached goes through another instance. */
	#isRelayTurn = true;
	#failures = 0;
	#checkDueAtMs = 0;
	#workingSinceMs: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Whether requests go through another instance. */
	get isRelayed(): boolean {
		return this.#isRelayed;
	}

	/**
	 * Whether the next check of an upstream that can't be reached goes through another instance. Such checks and those of the own
	 * link take turns.
	 */
	get isRelayTurn(): boolean {
		return this.#isRelayTurn;
	}

	/** Whether the own link of a relayed upstream may be checked. */
	get isOwnLinkCheckDue(): boolean {
		return this.#isRelayed && this.#clock.monotonicMs() >= this.#checkDueAtMs;
	}

	/** Records that the upstream answered through another instance. */
	recordRelayed(): void {
		if (!this.#isRelayed) {
			this.#isRelayed = true;
			this.#failures = 0;
			this.#workingSinceMs = undefined;
			this.#checkDueAtMs = this.#clock.monotonicMs() + firstCheckMs;
		}
	}

	/** Records that no other instance reaches the upstream. */
	recordRelayFailure(): void {
		this.#isRelayed = false;
		this.#isRelayTurn = false;
	}

	/** Records an answer on the own link. */
	recordOwnLinkAnswer(): void {
		const nowMs = this.#clock.monotonicMs();
		this.#workingSinceMs ??= nowMs;
		this.#isRelayTurn = true;
		this.#failures = 0;
		this.#checkDueAtMs = nowMs + stabilityCheckMs;
		if (nowMs - this.#workingSinceMs >= stableMs) {
			this.#isRelayed = false;
		}
	}

	/** Records a failure of the own link. */
	recordOwnLinkFailure(): void {
		this.#isRelayTurn = true;
		this.#workingSinceMs = undefined;
		this.#checkDueAtMs = this.#clock.monotonicMs() + Math.min(maximumCheckMs, firstCheckMs * (2 ** this.#failures));
		this.#failures += 1;
	}
}
