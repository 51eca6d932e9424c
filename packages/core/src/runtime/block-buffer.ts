/** Collects the body of a message in blocks, so that one of many small parts takes little more memory than its bytes. */
import {Buffer} from 'node:buffer';
import {returnBlock, takeBlock} from './block-pool.js';

/** Blocks of a body whose length is unknown, until it proves to be longer. */
const smallBlockBytes = 4096;
const longestSmallBody = 16_384;
/** Longer bodies take memory as they arrive, whatever length is announced. */
const maximumReservedBytes = 1_048_576;

export class BlockBuffer {
	/** Full blocks, in order. */
	#blocks: Uint8Array[] = [];
	/** The blocks among them, and the last one, that other messages use later. */
	#shared: Uint8Array[] = [];
	#last: Uint8Array;
	#lastBytes = 0;
	#bytes = 0;
	#allocatedBytes = 0;

	/** @param announcedBytes - length that the head states; undefined if it states none */
	constructor(announcedBytes = 0) {
		this.#last = Buffer.allocUnsafe(announcedBytes > maximumReservedBytes ? 0 : announcedBytes);
		this.#allocatedBytes = this.#last.length;
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** Memory of all blocks. */
	get allocatedBytes(): number {
		return this.#allocatedBytes;
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

	/** Returns the whole body in its blocks, and empties this one. None of them is used again, as it may still be written when its message has ended. */
	takeParts(): readonly Uint8Array[] {
		const parts = [...this.#blocks, this.#last.subarray(0, this.#lastBytes)].filter(({length}) => length > 0);
		this.#clear();
		return parts;
	}

	/** Frees the memory of the body. */
	discard(): void {
		for (const block of this.#shared) {
			returnBlock(block);
		}

		this.#clear();
	}

	#clear(): void {
		this.#blocks = [];
		this.#shared = [];
		this.#last = Buffer.alloc(0);
		this.#lastBytes = 0;
		this.#bytes = 0;
		this.#allocatedBytes = 0;
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

		this.#allocatedBytes += this.#last.length;
	}
}
