/** How often one instance hands its whole state to others, and to whom it refers those that come too soon. */
import type {Clock} from '../model/clock.js';

/**
 * The state of 500 upstreams takes some 12 kB, and the smallest instances send 1.7 MB a second: eight each 100 ms keep half
 * of that free. Each of those served can serve as many, so hundreds of instances have it after three such times.
 */
const handOversPerWindow = 8;
const windowMs = 100;
/** Hosts that are named to one that comes too soon. */
const maximumNamed = 4;

export class HandOverLimit {
	readonly #clock: Clock;
	/** Last served last. */
	#served: ReadonlyArray<{readonly host: string; readonly atMs: number}> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** @returns whether this host may be served now; it then counts as served */
	tryServe(host: string): boolean {
		const oldestMs = this.#clock.monotonicMs() - windowMs;
		if (this.#served.filter(({atMs}) => atMs > oldestMs).length >= handOversPerWindow) {
			return false;
		}

		const others = this.#served.filter(served => served.host !== host);
		this.#served = [...others, {host, atMs: this.#clock.monotonicMs()}].slice(-handOversPerWindow);
		return true;
	}

	/** Hosts that were served lately, for one that has to ask elsewhere. */
	recentlyServed(exceptHost: string): readonly string[] {
		return this.#served.map(({host}) => host).filter(host => host !== exceptHost).slice(0, maximumNamed);
	}
}
