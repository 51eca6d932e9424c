/** Simulates a noisy neighbour that occupies some of an upstream's slots in seeded phases of milliseconds. */
import {createRandomSource, type RandomSource} from '@cairnbank/core';
import type {Job, SlotPool} from './slot-pool.js';
import type {NoisyNeighbourOptions} from './upstream-faults.js';

/** Queues for slots like any other work and counts in the load that the upstream reports. */
export class NoisyNeighbour {
	readonly #pool: SlotPool;
	readonly #options: NoisyNeighbourOptions;
	readonly #random: RandomSource;
	#timer?: NodeJS.Timeout;
	#holds: readonly SlotHold[] = [];

	constructor(pool: SlotPool, options: NoisyNeighbourOptions) {
		this.#pool = pool;
		this.#options = options;
		this.#random = createRandomSource(options.seed);
	}

	/** Starts a phase; each phase starts the next one when it ends. */
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

	/** Releases its slots and ends the current phase. */
	stop(): void {
		clearTimeout(this.#timer);
		for (const hold of this.#holds) {
			hold.end();
		}

		this.#holds = [];
	}
}

/** A slot that the neighbour occupies or is queued for. */
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
