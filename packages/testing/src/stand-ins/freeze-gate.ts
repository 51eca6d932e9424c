/** A frozen process takes bytes and does nothing with them: steps wait here until it is thawed. */
export class FreezeGate {
	#frozen = false;
	readonly #waiting: Array<() => void> = [];

	/** Runs the step now, or once thawed. */
	runWhenThawed(callback: () => void): void {
		if (this.#frozen) {
			this.#waiting.push(callback);
		} else {
			callback();
		}
	}

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
		for (const step of this.#waiting.splice(0)) {
			step();
		}
	}
}
