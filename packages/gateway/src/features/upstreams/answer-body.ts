/** Collects the body of an answer in blocks, so that one of many small parts takes little more memory than its bytes. */
import {Buffer} from 'node:buffer';

const smallestBlockBytes = 4096;
const largestBlockBytes = 1_048_576;

export class AnswerBody {
	readonly #blocks: Uint8Array[] = [];
	#last: Uint8Array;
	#lastBytes = 0;
	#bytes = 0;

	/** @param announcedBytes - length that the head states; undefined if it states none */
	constructor(announcedBytes = 0) {
		this.#last = Buffer.allocUnsafe(announcedBytes > largestBlockBytes ? 0 : announcedBytes);
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** Copies a part of the body. */
	add(part: Uint8Array): void {
		for (let start = 0; start < part.length;) {
			if (this.#lastBytes === this.#last.length) {
				this.#addBlock(part.length - start);
			}

			const end = Math.min(part.length, start + this.#last.length - this.#lastBytes);
			this.#last.set(part.subarray(start, end), this.#lastBytes);
			this.#lastBytes += end - start;
			this.#bytes += end - start;
			start = end;
		}
	}

	/** Returns the whole body. */
	toBytes(): Uint8Array {
		const last = this.#last.subarray(0, this.#lastBytes);
		return this.#blocks.length === 0 ? last : Buffer.concat([...this.#blocks, last]);
	}

	#addBlock(neededBytes: number): void {
		if (this.#lastBytes > 0) {
			this.#blocks.push(this.#last);
		}

		this.#last = Buffer.allocUnsafe(Math.min(largestBlockBytes, Math.max(smallestBlockBytes, neededBytes, this.#bytes)));
		this.#lastBytes = 0;
	}
}
