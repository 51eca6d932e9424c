/** Items whose end something waits for, such as requests in flight. */
export class InFlight<Item> implements Iterable<Item> {
	readonly #items = new Set<Item>();
	readonly #onSizeChanged: (size: number) => void;
	readonly #waiting: Array<() => void> = [];

	constructor(onSizeChanged: (size: number) => void = () => undefined) {
		this.#onSizeChanged = onSizeChanged;
	}

	get size(): number {
		return this.#items.size;
	}

	[Symbol.iterator](): Iterator<Item> {
		return this.#items.values();
	}

	add(item: Item): void {
		this.#items.add(item);
		this.#onSizeChanged(this.size);
	}

	delete(item: Item): void {
		this.#items.delete(item);
		this.#onSizeChanged(this.size);
		if (this.size === 0) {
			for (const resolve of this.#waiting.splice(0)) {
				resolve();
			}
		}
	}

	/** Resolves once there is none. */
	async untilEmpty(): Promise<void> {
		while (this.size > 0) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}
	}
}
