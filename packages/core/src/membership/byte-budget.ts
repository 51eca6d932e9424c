/** Limits the size of a digest: counts the bytes of JSON that may still be added. */
import {Buffer} from 'node:buffer';

const separatorBytes = 1;

export class ByteBudget {
	#remainingBytes: number;

	constructor(bytes: number) {
		this.#remainingBytes = bytes;
	}

	/** Takes the item's bytes if they fit. @returns whether they fit */
	tryTake(item: unknown): boolean {
		const bytes = Buffer.byteLength(JSON.stringify(item)) + separatorBytes;
		if (bytes > this.#remainingBytes) {
			return false;
		}

		this.#remainingBytes -= bytes;
		return true;
	}

	/** Limits `take` to a share of the remaining bytes. Bytes that it does not use stay available. */
	withShare<Taken>(ratio: number, take: (share: ByteBudget) => Taken): Taken {
		const share = new ByteBudget(Math.floor(this.#remainingBytes * ratio));
		const before = share.#remainingBytes;
		const taken = take(share);
		this.#remainingBytes -= before - share.#remainingBytes;
		return taken;
	}

	/** Takes the leading items that fit. */
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
