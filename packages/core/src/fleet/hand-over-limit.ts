/** Limits how often one instance hands over its whole state to others, and refers those that it doesn't serve to other instances. */
import type {Clock} from '../model/clock.js';

/**
 * The state of 500 upstreams takes about 12 kB, and the smallest instances send 1.7 MB a second, so eight transfers in 100 ms
 * leave half of that free. Each served instance can serve as many others, so hundreds have the state after three windows.
 */
const handOversPerWindow = 8;
const windowMs = 100;
/** Maximum number of hosts to which an instance is referred that is not served. */
const maximumReferrals = 4;

export class HandOverLimit {
	readonly #clock: Clock;
	/** Ordered by time, the latest last. */
	#served: ReadonlyArray<{readonly host: string; readonly atMs: number}> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Reserves a transfer for this host. @returns whether it may be served now */
	tryServe(host: string): boolean {
		const oldestMs = this.#clock.monotonicMs() - windowMs;
		if (this.#served.filter(({atMs}) => atMs > oldestMs).length >= handOversPerWindow) {
			return false;
		}

		const others = this.#served.filter(served => served.host !== host);
		this.#served = [...others, {host, atMs: this.#clock.monotonicMs()}].slice(-handOversPerWindow);
		return true;
	}

	/** Hosts that were served lately, to which an instance that isn't served can be referred. */
	recentlyServed(exceptHost: string): readonly string[] {
		return this.#served.map(({host}) => host).filter(host => host !== exceptHost).slice(0, maximumReferrals);
	}
}
