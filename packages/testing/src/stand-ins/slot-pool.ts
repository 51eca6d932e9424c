/** The slots of an upstream: limits how many jobs run at a time and queues the others first in, first out, up to a bound. */

export type Job = {
	/** Called when the job gets a slot; the job calls `release` on the pool when it ends. */
	readonly begin: () => void;
};

/** Assigns slots to jobs in the order of submission. */
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

	/** Number of slots in use. */
	get busy(): number {
		return this.#busy;
	}

	/** Number of jobs that run or are queued. */
	get inFlight(): number {
		return this.#busy + this.#queue.length;
	}

	/** Queues the job; returns false, without queueing it, if all slots and the queue are full. */
	submit(job: Job): boolean {
		if (this.#queue.length >= this.#queueLength && this.#busy >= this.#slots) {
			return false;
		}

		this.#queue.push(job);
		this.#startQueued();
		return true;
	}

	/** Removes the job from the queue; returns false if it has already started. */
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

	/** Starts no more jobs until `resume`; running jobs keep their slots. */
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
