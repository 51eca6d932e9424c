/** Chooses which members of a large fleet are asked whether they are alive, and detects those that do not answer. */
import type {RandomSource} from '../model/random-source.js';

/**
 * Number of members that one instance newly asks in each round. As all instances do this, each member is asked about twice a
 * round, whatever the size of the fleet; the number of heartbeats from each to all would grow with the square of the size.
 */
const askedPerRound = 2;
/** A member is asked this often before it counts as lost, so that it doesn't lose its callers because of one lost datagram. */
const maximumAttempts = 3;

export type CheckRound = {
	/** Hosts to ask now. */
	readonly asked: readonly string[];
	/** Hosts that did not answer after the maximum number of attempts. */
	readonly lost: readonly string[];
};

export class MemberChecks {
	readonly #random: RandomSource;
	readonly #perRound: number;
	/** Fraction of a member that is carried over from previous rounds. */
	#credit = 0;
	/** Number of unanswered attempts by host. */
	readonly #attempts = new Map<string, number>();
	/** Hosts in the order in which they are asked next; each one is asked once before any is asked again. */
	#queue: string[] = [];
	/** Hosts of the previous round. */
	#previousHosts: ReadonlySet<string> = new Set();

	/** @param perRound - mean number of members that are newly asked in each round; may be a fraction */
	constructor(random: RandomSource, perRound: number = askedPerRound) {
		this.#random = random;
		this.#perRound = perRound;
	}

	/**
	 * Starts a round: chooses the hosts to ask, and returns those that count as lost.
	 *
	 * @param hosts - members that have to be asked whether they are alive
	 * @param factor - multiplies the number of members that are newly asked in this round
	 */
	nextRound(hosts: readonly string[], factor = 1): CheckRound {
		const known = new Set(hosts);
		this.#enqueue(hosts.filter(host => !this.#previousHosts.has(host)));
		this.#previousHosts = known;
		for (const host of [...this.#attempts.keys()].filter(host => !known.has(host))) {
			this.#attempts.delete(host);
		}

		const lost = [...this.#attempts].filter(([, attempts]) => attempts >= maximumAttempts).map(([host]) => host);
		for (const host of lost) {
			this.#attempts.delete(host);
		}

		const asked = [...this.#attempts.keys(), ...this.#draw(known, this.#perRound * factor)];
		for (const host of asked) {
			this.#attempts.set(host, (this.#attempts.get(host) ?? 0) + 1);
		}

		return {asked, lost};
	}

	/** Records that a message came from this host. */
	heardFrom(host: string): void {
		this.#attempts.delete(host);
	}

	#draw(known: ReadonlySet<string>, due: number): string[] {
		this.#credit += due;
		const count = Math.floor(this.#credit);
		this.#credit -= count;
		if (count === 0) {
			return [];
		}

		this.#queue = this.#queue.filter(host => known.has(host) && !this.#attempts.has(host));
		if (this.#queue.length < count) {
			const waiting = new Set(this.#queue);
			const others = [...known].filter(host => !waiting.has(host) && !this.#attempts.has(host));
			this.#queue.push(...this.#shuffle(others));
		}

		return this.#queue.splice(0, count);
	}

	/**
	 * Inserts hosts that newly have to be asked at random positions of the queue. At the end, a member whose heartbeats all
	 * instances received until now would not be asked by any of them for a whole pass through the queue, half a minute at 313
	 * instances; at the front, all instances would ask the same one.
	 */
	#enqueue(hosts: readonly string[]): void {
		for (const host of hosts) {
			this.#queue.splice(this.#random.nextInteger(this.#queue.length + 1), 0, host);
		}
	}

	#shuffle(hosts: readonly string[]): string[] {
		return hosts
			.map(host => ({host, order: this.#random.next()}))
			.sort((left, right) => left.order - right.order)
			.map(({host}) => host);
	}
}
