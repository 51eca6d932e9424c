/** Lets calls wait until the trial of the same request has ended. */
export class SuspectWaiters {
	#wakers = new Set<() => void>();

	/** Resolves at the next change of the suspects, but after `durationMs` at the latest. */
	async wait(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#wakers.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, Math.ceil(durationMs));
			this.#wakers.add(wake);
		});
	}

	wake(): void {
		const wakers = this.#wakers;
		this.#wakers = new Set();
		for (const wake of wakers) {
			wake();
		}
	}
}
