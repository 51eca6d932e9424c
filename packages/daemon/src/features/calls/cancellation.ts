/** Tells the parts that work on a call that nobody waits for it any more. Cheaper than an AbortSignal per call. */

type Listener = () => void;

export class Cancellation {
	#cancelled = false;
	#listeners: Listener[] = [];

	get cancelled(): boolean {
		return this.#cancelled;
	}

	/** @returns a function that ends the subscription */
	onCancel(listener: Listener): () => void {
		this.#listeners.push(listener);
		return () => {
			this.#listeners = this.#listeners.filter(other => other !== listener);
		};
	}

	cancel(): void {
		if (this.#cancelled) {
			return;
		}

		this.#cancelled = true;
		for (const listener of this.#listeners) {
			listener();
		}

		this.#listeners = [];
	}
}
