/** Counts the calls under way at one instance, bounds them, and tells when the last one has ended. */
export class CallsInFlight {
	readonly #maximum: number;
	#count = 0;
	readonly #onIdle: Array<() => void> = [];

	/** @param maximum - calls under way at one time */
	constructor(maximum: number) {
		this.#maximum = maximum;
	}

	get count(): number {
		return this.#count;
	}

	/** @returns false at the bound; then the call must not be begun */
	tryBegin(): boolean {
		if (this.#count >= this.#maximum) {
			return false;
		}

		this.#count += 1;
		return true;
	}

	/** Once for each call that was begun. */
	end(): void {
		this.#count -= 1;
		if (this.#count > 0) {
			return;
		}

		for (const resolve of this.#onIdle.splice(0)) {
			resolve();
		}
	}

	/** Resolves once no call is under way. */
	async waitUntilIdle(): Promise<void> {
		if (this.#count === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#onIdle.push(resolve);
		});
	}
}
