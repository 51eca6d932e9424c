/** Counts the tokens that a bucket has handed out within the window of the bound. */
import type {Clock} from '../model/clock.js';

/** Parts into which the window is divided; a part counts until all of it has left the window. */
const partsPerWindow = 50;
/** Time within which tokens are returned; with some delay of the message. */
const returnedWithinMs = 500;

type Part = {readonly startedAtMs: number; granted: number};

export class WindowUse {
	readonly #clock: Clock;
	readonly #windowMs: number;
	/** Oldest first. */
	#parts: Part[] = [];
	#startedAtMs: number;

	constructor(clock: Clock, windowMs: number) {
		this.#clock = clock;
		this.#windowMs = windowMs;
		this.#startedAtMs = clock.monotonicMs();
	}

	/** Whether all that was handed out within the window is counted. */
	get isComplete(): boolean {
		return this.#clock.monotonicMs() - this.#startedAtMs >= this.#windowMs;
	}

	get granted(): number {
		return this.#recent().reduce((sum, part) => sum + part.granted, 0);
	}

	/** Time until at most `count` of the tokens are left in the window. */
	leftInMs(count: number): number {
		const nowMs = this.#clock.monotonicMs();
		let {granted} = this;
		let leftInMs = 0;
		for (const part of this.#recent()) {
			if (granted <= count) {
				break;
			}

			granted -= part.granted;
			leftInMs = part.startedAtMs + this.#partMs + this.#windowMs - nowMs;
		}

		return leftInMs;
	}

	/**
	 * @param requestsPerMs - rate at which further tokens are handed out in any case
	 * @param capacity - tokens that may be handed out within a window
	 * @returns tokens that can be handed out now besides, so that no window until all of them have left exceeds the capacity
	 */
	roomFor(requestsPerMs: number, capacity: number): number {
		const nowMs = this.#clock.monotonicMs();
		let room = capacity - (requestsPerMs * this.#windowMs);
		let granted = 0;
		for (const part of this.#recent().toReversed()) {
			granted += part.granted;
			room = Math.min(room, capacity - granted - (requestsPerMs * Math.max(0, part.startedAtMs + this.#windowMs - nowMs)));
		}

		return room;
	}

	record(granted: number): void {
		const nowMs = this.#clock.monotonicMs();
		const newest = this.#recent().at(-1);
		if (newest !== undefined && nowMs - newest.startedAtMs < this.#partMs) {
			newest.granted += granted;
		} else if (granted !== 0) {
			this.#parts.push({startedAtMs: nowMs, granted});
		}
	}

	/** Takes returned tokens off the earliest of the parts in which they may have been handed out, so that none counts too short. */
	giveBack(count: number): void {
		const earliestMs = this.#clock.monotonicMs() - returnedWithinMs - this.#partMs;
		let left = count;
		for (const part of this.#recent().filter(({startedAtMs}) => startedAtMs >= earliestMs)) {
			const taken = Math.min(left, part.granted);
			part.granted -= taken;
			left -= taken;
		}
	}

	/** Starts to count anew. */
	reset(): void {
		this.#parts = [];
		this.#startedAtMs = this.#clock.monotonicMs();
	}

	get #partMs(): number {
		return this.#windowMs / partsPerWindow;
	}

	#recent(): readonly Part[] {
		const oldestMs = this.#clock.monotonicMs() - this.#windowMs - this.#partMs;
		const firstKept = this.#parts.findIndex(({startedAtMs}) => startedAtMs > oldestMs);
		this.#parts = firstKept === -1 ? [] : this.#parts.slice(firstKept);
		return this.#parts;
	}
}
