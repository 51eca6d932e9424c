/** Which members of a large fleet are asked whether they are alive, and which of them did not answer. */
import type {RandomSource} from '../model/random-source.js';

/**
 * Members that one instance asks anew in each round. As all ask, each member is asked about twice a round whatever the
 * size of the fleet; heartbeats from each to all would grow with its square.
 */
const askedPerRound = 2;
/** One lost datagram must not cost a member its callers: it is asked this often before it counts as lost. */
const maximumAsks = 3;

export type CheckRound = {
	/** Hosts to ask now. */
	readonly asked: readonly string[];
	/** Hosts that have left all their asks unanswered. */
	readonly lost: readonly string[];
};

export class MemberChecks {
	readonly #random: RandomSource;
	readonly #perRound: number;
	/** Part of an ask that is left over from the rounds before. */
	#credit = 0;
	/** Number of asks by host, while none is answered. */
	readonly #unanswered = new Map<string, number>();
	/** Hosts in the order in which they are asked next; each comes once before any comes again. */
	#queue: string[] = [];
	/** Hosts of the round before. */
	#known: ReadonlySet<string> = new Set();

	/** @param perRound - members asked anew in each round, on the mean; may be a fraction */
	constructor(random: RandomSource, perRound: number = askedPerRound) {
		this.#random = random;
		this.#perRound = perRound;
	}

	/**
	 * @param hosts - members that are not known to be alive without being asked
	 * @param factor - how many times as many as usual are asked in this round
	 */
	next(hosts: readonly string[], factor = 1): CheckRound {
		const known = new Set(hosts);
		this.#enqueue(hosts.filter(host => !this.#known.has(host)));
		this.#known = known;
		for (const host of [...this.#unanswered.keys()].filter(host => !known.has(host))) {
			this.#unanswered.delete(host);
		}

		const lost = [...this.#unanswered].filter(([, asks]) => asks >= maximumAsks).map(([host]) => host);
		for (const host of lost) {
			this.#unanswered.delete(host);
		}

		const asked = [...this.#unanswered.keys(), ...this.#drawn(known, this.#perRound * factor)];
		for (const host of asked) {
			this.#unanswered.set(host, (this.#unanswered.get(host) ?? 0) + 1);
		}

		return {asked, lost};
	}

	/** Anything came from this host. */
	heard(host: string): void {
		this.#unanswered.delete(host);
	}

	#drawn(known: ReadonlySet<string>, due: number): string[] {
		this.#credit += due;
		const count = Math.floor(this.#credit);
		this.#credit -= count;
		if (count === 0) {
			return [];
		}

		this.#queue = this.#queue.filter(host => known.has(host) && !this.#unanswered.has(host));
		if (this.#queue.length < count) {
			const waiting = new Set(this.#queue);
			const others = [...known].filter(host => !waiting.has(host) && !this.#unanswered.has(host));
			this.#queue.push(...this.#shuffled(others));
		}

		return this.#queue.splice(0, count);
	}

	/**
	 * Puts whoever has just become unsure somewhere among those that wait: at the end, a member that all watched until now
	 * would be asked by nobody for a whole turn, half a minute at 313 instances; at the front, all would ask the same one.
	 */
	#enqueue(hosts: readonly string[]): void {
		for (const host of hosts) {
			this.#queue.splice(this.#random.nextInteger(this.#queue.length + 1), 0, host);
		}
	}

	#shuffled(hosts: readonly string[]): string[] {
		return hosts
			.map(host => ({host, order: this.#random.next()}))
			.sort((left, right) => left.order - right.order)
			.map(({host}) => host);
	}
}
