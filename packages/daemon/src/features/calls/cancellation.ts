/** Notifies the code that handles a call when the caller no longer waits for it. Cheaper than an AbortSignal per call. */

type Listener = () => void;

export class Cancellation {
	#cancelled = false;
	#listeners: Listener[] = [];

	get cancelled(): boolean {
		return this.#cancelled;
	}

	/** @returns a function that removes the listener */
	onCancel(listener: Listener): () => void {
		this.#listeners.push(listener);
		return () => {
			const index = this.#listeners.indexOf(listener);
			if (index !== -1) {
				this.#listeners.splice(index, 1);
			}
		};
	}

	cancel(): void {
		if (this.#cancelled) {
			return;
		}

		this.#cancelled = true;
		const listeners = this.#listeners;
		this.#listeners = [];
		for (const listener of listeners) {
			listener();
		}
	}
}
