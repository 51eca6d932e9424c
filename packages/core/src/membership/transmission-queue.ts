/** Order in which items take their turn in digests: news first, then the ones sent longest ago. */

/** Keys with the number of sends they still get as news. */
export class TransmissionQueue<Key> {
	/** In the order of their last send, oldest first. */
	readonly #keys = new Map<Key, number>();

	/** Adds a key, or makes it news again for `transmissions` sends. */
	prioritize(key: Key, transmissions: number): void {
		this.#keys.set(key, transmissions);
	}

	/** Forgets the keys that are no longer known. */
	retain(isKnown: (key: Key) => boolean): void {
		for (const key of this.#keys.keys()) {
			if (!isKnown(key)) {
				this.#keys.delete(key);
			}
		}
	}

	/** Keys with sends left as news, most left first. */
	prioritized(): readonly Key[] {
		return [...this.#keys]
			.filter(([, left]) => left > 0)
			.sort((a, b) => b[1] - a[1])
			.map(([key]) => key);
	}

	/** Keys that are no news, oldest send first. */
	unprioritized(): readonly Key[] {
		return [...this.#keys].filter(([, left]) => left === 0).map(([key]) => key);
	}

	/** Notes that a key went out. */
	recordSent(key: Key): void {
		const left = this.#keys.get(key);
		if (left === undefined) {
			return;
		}

		this.#keys.delete(key);
		this.#keys.set(key, Math.max(0, left - 1));
	}
}
