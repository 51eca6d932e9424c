/** Determines the order in which items are sent in digests: updates first, then the items sent longest ago. */

/** Keys with the number of prioritized sends that remain for each. */
export class TransmissionQueue<Key> {
	/** Remaining prioritized sends by key, in the order of the last send, oldest first. */
	readonly #keys = new Map<Key, number>();

	/** Adds a key if it is new, and sets the number of its prioritized sends to `transmissions`. */
	prioritize(key: Key, transmissions: number): void {
		this.#keys.set(key, transmissions);
	}

	/** Removes the keys for which `shouldRetain` returns false. */
	retain(shouldRetain: (key: Key) => boolean): void {
		for (const key of this.#keys.keys()) {
			if (!shouldRetain(key)) {
				this.#keys.delete(key);
			}
		}
	}

	/** Keys with prioritized sends remaining, those with the most first. */
	prioritized(): readonly Key[] {
		return [...this.#keys]
			.filter(([, remaining]) => remaining > 0)
			.sort((a, b) => b[1] - a[1])
			.map(([key]) => key);
	}

	/** Keys without prioritized sends remaining, oldest send first. */
	unprioritized(): readonly Key[] {
		return [...this.#keys].filter(([, remaining]) => remaining === 0).map(([key]) => key);
	}

	/** Records that a key was sent. */
	recordSent(key: Key): void {
		const remaining = this.#keys.get(key);
		if (remaining === undefined) {
			return;
		}

		this.#keys.delete(key);
		this.#keys.set(key, Math.max(0, remaining - 1));
	}
}
