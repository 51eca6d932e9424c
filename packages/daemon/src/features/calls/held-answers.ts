/** Counts the bytes of all answers that are held (buffered) in memory and compares them with the configured limit. */
export class HeldAnswers {
	readonly #maximumBytes: number;
	#bytes = 0;

	constructor(maximumBytes: number) {
		this.#maximumBytes = maximumBytes;
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** Whether the limit is reached. Then no new call starts, and answers that are being received are streamed to their callers. */
	get isFull(): boolean {
		return this.#bytes >= this.#maximumBytes;
	}

	add(bytes: number): void {
		this.#bytes += bytes;
	}

	remove(bytes: number): void {
		this.#bytes -= bytes;
	}
}
