/** Frees what the process has dropped, where that takes the memory that callers need. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Clock} from '@cairnbank/core';

/** Bytes between two looks at the memory, which take some 20 µs each. */
const bytesBetweenLooks = 4_194_304;
/** Garbage below this is left to the runtime. */
const harmlessBytes = 16_777_216;
/** A collection takes 15 to 30 ms, and frees all that was dropped before. */
const minimumIntervalMs = 200;

export type GarbageLimitOptions = {
	readonly clock: Clock;
	/** Memory of buffers, in use or dropped, from which on what was dropped is freed. */
	readonly maximumBytes: number;
	/** Returns the memory of the buffers that are in use. */
	readonly usedBytes: () => number;
	/** Returns the memory of all buffers. */
	readonly bufferBytes?: () => number;
	readonly collect?: () => void;
	/** Called after each collection. */
	readonly onCollected: () => void;
};

/**
 * The runtime frees dropped buffers only after some 64 MB more were made, whatever memory the machine has; answers of 1 MB that were written to
 * their callers took 100 MB.
 */
export class GarbageLimit {
	readonly #options: Required<GarbageLimitOptions>;
	#allocatedBytes = 0;
	#collectedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: GarbageLimitOptions) {
		this.#options = {bufferBytes: () => process.memoryUsage().arrayBuffers, collect: collectGarbage, ...options};
	}

	/** Records that a message of some size was read. */
	allocated(bytes: number): void {
		this.#allocatedBytes += bytes;
		if (this.#allocatedBytes >= bytesBetweenLooks) {
			this.#allocatedBytes = 0;
			this.#collectIfNeeded();
		}
	}

	#collectIfNeeded(): void {
		const {bufferBytes, clock, collect, maximumBytes, usedBytes} = this.#options;
		const bytes = bufferBytes();
		const nowMs = clock.monotonicMs();
		if (bytes > maximumBytes && bytes - usedBytes() > harmlessBytes && nowMs - this.#collectedAtMs >= minimumIntervalMs) {
			this.#collectedAtMs = nowMs;
			collect();
			this.#options.onCollected();
		}
	}
}

let gc: (() => void) | undefined;

function collectGarbage(): void {
	if (gc === undefined) {
		setFlagsFromString('--expose-gc');
		gc = runInNewContext('gc') as () => void;
	}

	gc();
}
