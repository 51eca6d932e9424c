/** Limits the time until something arrives on a socket. */
import {untilArrivalsAreRead} from './arrivals.js';

/** Bounds the reading of a long answer: a time-out must not come much later than its time. */
const maximumReadMs = 100;

/** What is read until a time limit is over. */
export type ReadProgress = {
	/** Bytes read so far. */
	readonly readBytes: number;
};

export class TimeLimit {
	readonly #progress: ReadProgress;
	readonly #onOver: () => void;
	#timer: NodeJS.Timeout;
	#isOver = false;

	/** @param onOver - called after the time, once what has arrived by then was read: a process that is short of processor time reads late */
	constructor(durationMs: number, progress: ReadProgress, onOver: () => void) {
		this.#progress = progress;
		this.#onOver = onOver;
		this.#timer = setTimeout(() => {
			void this.#endOnceRead();
		}, Math.max(1, durationMs));
	}

	clear(): void {
		this.#isOver = true;
		clearTimeout(this.#timer);
	}

	async #endOnceRead(): Promise<void> {
		this.#timer = setTimeout(() => {
			this.#end();
		}, maximumReadMs);
		await untilArrivalsAreRead(() => this.#progress.readBytes, () => this.#isOver);
		this.#end();
	}

	#end(): void {
		if (!this.#isOver) {
			this.clear();
			this.#onOver();
		}
	}
}
