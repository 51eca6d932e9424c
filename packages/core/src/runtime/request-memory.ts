/** Counts the memory of callers' requests from their arrival until nothing holds them any more. */
import type {IncomingMessage} from 'node:http';
import type {CallerMemory} from '../connections/caller-memory.js';

/** A request and its response in the runtime, without the text of its head. */
const requestBytes = 6144;
/** A name or value of a header beside its text: its place in lists and the joined values of equal names. */
const headerPartBytes = 40;
/** Text is held as received, and once more as it is joined or sent on. */
const copies = 2;

/** Returns the memory that a request takes without its body. */
export function memoryOf({rawHeaders, url = ''}: IncomingMessage): number {
	let characters = url.length;
	for (const text of rawHeaders) {
		characters += text.length;
	}

	return requestBytes + (characters * copies) + (rawHeaders.length * headerPartBytes);
}

/** What the requests of one connection take. */
export class RequestMemory {
	readonly #memory: CallerMemory;
	#ignoredBytes = 0;

	constructor(memory: CallerMemory) {
		this.#memory = memory;
	}

	/**
	 * Reserves memory for a request that will be answered.
	 *
	 * @param waits - whether it waits behind others
	 * @returns a function that frees the memory; undefined if too little is left
	 */
	reserve(bytes: number, waits: boolean): (() => void) | undefined {
		if (waits) {
			return this.#memory.reserveWaiting(bytes)
				? () => {
					this.#memory.releaseWaiting(bytes);
				}
				: undefined;
		}

		return this.#memory.reserveHead(bytes)
			? () => {
				this.#memory.releaseHead(bytes);
			}
			: undefined;
	}

	/** Reserves memory for a request that is never started, which the runtime keeps for as long as the connection; returns false if too little is left. */
	reserveIgnored(bytes: number): boolean {
		const hasRoom = this.#memory.reserveWaiting(bytes);
		this.#ignoredBytes += hasRoom ? bytes : 0;
		return hasRoom;
	}

	/** Frees the memory of the requests that were never started, as the connection is closed. */
	releaseIgnored(): void {
		this.#memory.releaseWaiting(this.#ignoredBytes);
		this.#ignoredBytes = 0;
	}
}
