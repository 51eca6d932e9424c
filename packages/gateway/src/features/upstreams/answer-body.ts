/** Collects the body of an answer in blocks, so that one of many small parts takes little more memory than its bytes. */
import {Buffer} from 'node:buffer';
import {returnBlock, takeBlock} from './block-pool.js';

/** Blocks of a body whose length is unknown, until it proves to be longer. */
const smallBlockBytes = 4096;
const longestSmallBody = 16_384;
/** Longer bodies take memory as they arrive, whatever length is announced. */
const maximumReservedBytes = 1_048_576;

export class AnswerBody {
	/** Full blocks, in order. */
	#blocks: Uint8Array[] = [];
	/** The blocks among them, and the last one, that other answers use later. */
	#shared: Uint8Array[] = [];
	#last: Uint8Array;
	#lastBytes = 0;
	#bytes = 0;

	/** @param announcedBytes - length that the head states; undefined if it states none */
	constructor(announcedBytes = 0) {
		this.#last = Buffer.allocUnsafe(announcedBytes > maximumReservedBytes ? 0 : announcedBytes);
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

	/** Returns the whole body, and empties this one. */
	takeBytes(): Uint8Array {
		const last = this.#last.subarray(0, this.#lastBytes);
		const isCopied = this.#blocks.length > 0 || this.#shared.length > 0;
		const bytes = isCopied ? Buffer.concat([...this.#blocks, last]) : last;
		this.discard();
		return bytes;
	}

	/** Frees the memory of the body. */
	discard(): void {
		for (const block of this.#shared) {
			returnBlock(block);
		}

		this.#blocks = [];
		this.#shared = [];
		this.#last = Buffer.alloc(0);
		this.#lastBytes = 0;
		this.#bytes = 0;
	}

	#addBlock(neededBytes: number): void {
		if (this.#lastBytes > 0) {
			this.#blocks.push(this.#last);
		}

		this.#lastBytes = 0;
		if (this.#bytes + neededBytes <= longestSmallBody) {
			this.#last = Buffer.allocUnsafe(Math.max(smallBlockBytes, neededBytes));
		} else {
			this.#last = takeBlock();
			this.#shared.push(this.#last);
		}
	}
}
