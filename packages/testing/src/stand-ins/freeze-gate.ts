/** Simulates a frozen process, which accepts bytes but processes nothing: defers callbacks until the upstream is thawed. */
export class FreezeGate {
	#frozen = false;
	readonly #waiting: Array<() => void> = [];

	/** Runs the callback immediately, or after `thaw` if frozen. */
	runWhenThawed(callback: () => void): void {
		if (this.#frozen) {
			this.#waiting.push(callback);
		} else {
			callback();
		}
	}

	/** Resolves immediately, or after `thaw` if frozen. */
	async waitUntilThawed(): Promise<void> {
		await new Promise<void>(resolve => {
			this.runWhenThawed(resolve);
		});
	}

	freeze(): void {
		this.#frozen = true;
	}

	thaw(): void {
		this.#frozen = false;
		for (const callback of this.#waiting.splice(0)) {
			callback();
		}
	}
}
