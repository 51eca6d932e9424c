/** Counts the bytes of all answers that are held in memory, within the settings' bound. */
export class HeldAnswers {
	readonly #maximumBytes: number;
	#bytes = 0;

	constructor(maximumBytes: number) {
		this.#maximumBytes = maximumBytes;
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** At the bound no call is begun, and answers under way are streamed. */
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
