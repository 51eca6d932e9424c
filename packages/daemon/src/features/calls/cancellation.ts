/** Notifies the code that handles a call when it has to end the call. Cheaper than an AbortSignal per call. */

/** The reason why a call ends before it has an outcome: its caller no longer waits, or the time of this instance to drain is over. */
export type CancellationReason = 'caller-gone' | 'stopping';

type Listener = (reason: CancellationReason) => void;

export class Cancellation {
	#reason: CancellationReason | undefined;
	#listeners: Listener[] = [];

	get cancelled(): boolean {
		return this.#reason !== undefined;
	}

	/** Undefined while the call is not cancelled. */
	get reason(): CancellationReason | undefined {
		return this.#reason;
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

	cancel(reason: CancellationReason): void {
		if (this.#reason !== undefined) {
			return;
		}

		this.#reason = reason;
		const listeners = this.#listeners;
		this.#listeners = [];
		for (const listener of listeners) {
			listener(reason);
		}
	}
}
