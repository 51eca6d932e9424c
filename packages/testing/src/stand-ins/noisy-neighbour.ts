/** A noisy neighbour: in seeded spells of milliseconds it holds some of an upstream's slots. */
import {createRandomSource, type RandomSource} from '@cairnbank/core';
import type {Job, SlotPool} from './slot-pool.js';
import type {NoisyNeighbourOptions} from './upstream-faults.js';

/** Its work waits for slots like any other, and counts in the load that the upstream reports. */
export class NoisyNeighbour {
	readonly #pool: SlotPool;
	readonly #options: NoisyNeighbourOptions;
	readonly #random: RandomSource;
	#timer?: NodeJS.Timeout;
	#holds: readonly SlotHold[] = [];

	constructor(pool: SlotPool, swing: NoisyNeighbourOptions) {
		this.#pool = pool;
		this.#options = swing;
		this.#random = createRandomSource(swing.seed);
	}

	/** Begins a spell, and the next one at its end. */
	start(): void {
		const {minimumMs, maximumMs, hotRatio, hotSlots} = this.#options;
		const durationMs = minimumMs + (this.#random.next() * (maximumMs - minimumMs));
		const slots = this.#random.next() < hotRatio ? hotSlots : 0;
		this.#holds = Array.from({length: slots}, () => new SlotHold(this.#pool));
		for (const hold of this.#holds) {
			hold.begin();
		}

		this.#timer = setTimeout(() => {
			this.stop();
			this.start();
		}, durationMs);
	}

	/** Gives its slots back. */
	stop(): void {
		clearTimeout(this.#timer);
		for (const hold of this.#holds) {
			hold.end();
		}

		this.#holds = [];
	}
}

/** One slot, held or waited for. */
class SlotHold {
	readonly #pool: SlotPool;
	#isHeld = false;
	readonly #job: Job = {
		begin: () => {
			this.#isHeld = true;
		},
	};

	constructor(pool: SlotPool) {
		this.#pool = pool;
	}

	begin(): void {
		this.#pool.submit(this.#job);
	}

	end(): void {
		if (this.#isHeld) {
			this.#pool.release();
		} else {
			this.#pool.cancel(this.#job);
		}
	}
}
