/** An upstream's slots: so many jobs at a time, the rest in a bounded queue, first in first out. */

export type Job = {
	/** Called when a slot is taken; the job calls `release` on the pool when it ends. */
	readonly begin: () => void;
};

/** Jobs wait here for a slot. */
export class SlotPool {
	readonly #slots: number;
	readonly #queueLength: number;
	readonly #queue: Job[] = [];
	#busy = 0;
	#paused = false;

	constructor(slots: number, queueLength: number) {
		this.#slots = slots;
		this.#queueLength = queueLength;
	}

	get busy(): number {
		return this.#busy;
	}

	get inFlight(): number {
		return this.#busy + this.#queue.length;
	}

	/** False when the queue is full: the job is not taken. */
	submit(job: Job): boolean {
		if (this.#queue.length >= this.#queueLength && this.#busy >= this.#slots) {
			return false;
		}

		this.#queue.push(job);
		this.#startQueued();
		return true;
	}

	/** Takes a job out of the queue; false when it has begun already. */
	cancel(job: Job): boolean {
		const index = this.#queue.indexOf(job);
		if (index === -1) {
			return false;
		}

		this.#queue.splice(index, 1);
		return true;
	}

	release(): void {
		this.#busy -= 1;
		this.#startQueued();
	}

	pause(): void {
		this.#paused = true;
	}

	resume(): void {
		this.#paused = false;
		this.#startQueued();
	}

	#startQueued(): void {
		while (!this.#paused && this.#busy < this.#slots && this.#queue.length > 0) {
			this.#busy += 1;
			this.#queue.shift()!.begin();
		}
	}
}
