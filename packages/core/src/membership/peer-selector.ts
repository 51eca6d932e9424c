/** Whom to gossip with next: everyone in turn, in an order shuffled anew each time round. */
import type {Address} from '../model/address.js';
import type {RandomSource} from '../model/random-source.js';
import {shuffle} from './shuffle.js';

/**
 * Visits each address once before any twice, so that the time until a dead peer is met has a bound,
 * while the seeded order keeps daemons from meeting in step.
 */
export class PeerSelector {
	readonly #random: RandomSource;
	#queue: Address[] = [];

	constructor(random: RandomSource) {
		this.#random = random;
	}

	/** Up to `count` distinct addresses out of `addresses`. */
	select(addresses: readonly Address[], count: number): Address[] {
		const eligible = new Set(addresses);
		const wanted = Math.min(count, eligible.size);
		const chosen = new Set<Address>();
		this.#queue = this.#queue.filter(address => eligible.has(address));
		while (chosen.size < wanted) {
			if (this.#queue.length === 0) {
				const unchosen = [...eligible].filter(address => !chosen.has(address));
				this.#queue = [...shuffle(unchosen, this.#random), ...shuffle([...chosen], this.#random)];
			}

			chosen.add(this.#queue.shift()!);
		}

		return [...chosen];
	}
}
