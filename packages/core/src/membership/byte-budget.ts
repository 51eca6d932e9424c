/** Bytes of JSON that a digest may still take. */
import {Buffer} from 'node:buffer';

const separatorBytes = 1;

export class ByteBudget {
	#leftBytes: number;

	constructor(bytes: number) {
		this.#leftBytes = bytes;
	}

	/** Takes the item's bytes if they fit. @returns whether they did */
	tryTake(item: unknown): boolean {
		const bytes = Buffer.byteLength(JSON.stringify(item)) + separatorBytes;
		if (bytes > this.#leftBytes) {
			return false;
		}

		this.#leftBytes -= bytes;
		return true;
	}

	/** Splits off a part of what is left; what the part does not use stays here. */
	withShare<Taken>(ratio: number, take: (part: ByteBudget) => Taken): Taken {
		const part = new ByteBudget(Math.floor(this.#leftBytes * ratio));
		const before = part.#leftBytes;
		const taken = take(part);
		this.#leftBytes -= before - part.#leftBytes;
		return taken;
	}

	/** The leading items that fit. */
	takeLeading<Item>(items: readonly Item[]): Item[] {
		const taken: Item[] = [];
		for (const item of items) {
			if (!this.tryTake(item)) {
				break;
			}

			taken.push(item);
		}

		return taken;
	}
}
