/** A frozen process takes bytes and does nothing with them: steps wait here until it is thawed. */
export class FreezeGate {
	#frozen = false;
	readonly #steps: Array<() => void> = [];

	/** Runs the step now, or once thawed. */
	pass(step: () => void): void {
		if (this.#frozen) {
			this.#steps.push(step);
		} else {
			step();
		}
	}

	async passed(): Promise<void> {
		await new Promise<void>(resolve => {
			this.pass(resolve);
		});
	}

	freeze(): void {
		this.#frozen = true;
	}

	thaw(): void {
		this.#frozen = false;
		for (const step of this.#steps.splice(0)) {
			step();
		}
	}
}
