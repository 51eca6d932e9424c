/** Counts the calls in flight at this instance, limits their number and signals when the last one has ended. */
export class CallsInFlight {
	readonly #maximum: number;
	#count = 0;
	readonly #onIdle: Array<() => void> = [];

	/** @param maximum - highest number of calls in flight at the same time */
	constructor(maximum: number) {
		this.#maximum = maximum;
	}

	get count(): number {
		return this.#count;
	}

	/** @returns false if the limit is reached; the call must then not start */
	tryBegin(): boolean {
		if (this.#count >= this.#maximum) {
			return false;
		}

		this.#count += 1;
		return true;
	}

	/** Must be called exactly once for each call for which `tryBegin` returned true. */
	end(): void {
		this.#count -= 1;
		if (this.#count > 0) {
			return;
		}

		for (const resolve of this.#onIdle.splice(0)) {
			resolve();
		}
	}

	/** Resolves once no call is in flight. */
	async waitUntilIdle(): Promise<void> {
		if (this.#count === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#onIdle.push(resolve);
		});
	}
}
