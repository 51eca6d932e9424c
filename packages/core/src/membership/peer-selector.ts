/** Selects the peers to gossip with: all peers in turn, in an order that is shuffled again for each pass. */
import type {Address} from '../model/address.js';
import type {RandomSource} from '../model/random-source.js';
import {shuffle} from './shuffle.js';

/**
 * Selects each address once before any twice, so that the time until a dead peer is contacted is bounded.
 * The random order keeps daemons from contacting the same peer at the same time.
 */
export class PeerSelector {
	readonly #random: RandomSource;
	#queue: Address[] = [];

	constructor(random: RandomSource) {
		this.#random = random;
	}

	/** Selects up to `count` distinct addresses out of `addresses`. */
	select(addresses: readonly Address[], count: number): Address[] {
		const eligible = new Set(addresses);
		const wanted = Math.min(count, eligible.size);
		const selected = new Set<Address>();
		this.#queue = this.#queue.filter(address => eligible.has(address));
		while (selected.size < wanted) {
			if (this.#queue.length === 0) {
				const unselected = [...eligible].filter(address => !selected.has(address));
				this.#queue = [...shuffle(unselected, this.#random), ...shuffle([...selected], this.#random)];
			}

			selected.add(this.#queue.shift()!);
		}

		return [...selected];
	}
}
