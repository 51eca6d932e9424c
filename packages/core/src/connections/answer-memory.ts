/** Bounds the memory of all answers in an instance, from the first byte read of an upstream to the last one that its caller takes. */

/** A quarter of the memory of the smallest instances in use; about 700 long answers, or a minute of a link of 10 Mbit/s. */
export const maximumHeldBytes = 67_108_864;
/** Room in which requests that run already get their answers once further ones are refused. */
const unfinishedRoomBytes = 8_388_608;
export const maximumAnswerMemoryBytes = maximumHeldBytes + unfinishedRoomBytes;
/** Most of an unfinished answer that counts towards the refusal of requests, as a longer one can be ended to make room. */
export const usualAnswerBytes = 65_536;

/** Answers may take this much though requests fill the memory, as those of the answers have run. */
const leastAnswerBytes = 16_777_216;

export type AnswerMemoryOptions = {
	/** Returns the memory that requests leave for answers. */
	readonly roomBytes: () => number;
	/** Called with the bytes of each part that is read. */
	readonly onRead: (bytes: number) => void;
};

/** Counts answers that are read from upstreams, by their readers, and whole ones. */
export class AnswerMemory<Reader> {
	readonly #unfinished = new Map<Reader, number>();
	#unfinishedBytes = 0;
	#usualBytes = 0;
	#wholeBytes = 0;
	#readBytes = 0;
	readonly #options: AnswerMemoryOptions;

	constructor(options: Partial<AnswerMemoryOptions> = {}) {
		this.#options = {roomBytes: () => maximumAnswerMemoryBytes, onRead: () => undefined, ...options};
	}

	/** Bytes read of all answers since the start. */
	get readBytes(): number {
		return this.#readBytes;
	}

	get bytes(): number {
		return this.#unfinishedBytes + this.#wholeBytes;
	}

	get unfinishedBytes(): number {
		return this.#unfinishedBytes;
	}

	/** True if requests are to be refused before they run, as their answers could not be held. */
	get isFull(): boolean {
		return this.#wholeBytes + this.#usualBytes >= this.#maximumBytes - unfinishedRoomBytes;
	}

	/** Returns the bytes that a reader has recorded since its answer began. */
	bytesOf(reader: Reader): number {
		return this.#unfinished.get(reader) ?? 0;
	}

	/** Records bytes of an unfinished answer. Returns the readers of the longest answers, which have to give them up, so that the others fit. */
	read(reader: Reader, bytes: number): Reader[] {
		this.#readBytes += bytes;
		this.#options.onRead(bytes);
		this.#set(reader, this.bytesOf(reader) + bytes);
		const outgrown: Reader[] = [];
		const maximumBytes = this.#maximumBytes;
		while (this.bytes > maximumBytes) {
			const longest = this.#longest();
			if (longest === undefined) {
				break;
			}

			this.end(longest);
			outgrown.push(longest);
		}

		return outgrown;
	}

	/** Records that the answer of a reader is complete, or is given up. */
	end(reader: Reader): void {
		this.#set(reader, 0);
		this.#unfinished.delete(reader);
	}

	/** Records a whole answer that something waits to take. */
	hold(bytes: number): void {
		this.#wholeBytes += bytes;
	}

	/** Records that a whole answer was taken, or is given up. */
	release(bytes: number): void {
		this.#wholeBytes -= bytes;
	}

	get #maximumBytes(): number {
		return Math.max(leastAnswerBytes, Math.min(maximumAnswerMemoryBytes, this.#options.roomBytes()));
	}

	#set(reader: Reader, bytes: number): void {
		const previousBytes = this.bytesOf(reader);
		this.#unfinished.set(reader, bytes);
		this.#unfinishedBytes += bytes - previousBytes;
		this.#usualBytes += Math.min(bytes, usualAnswerBytes) - Math.min(previousBytes, usualAnswerBytes);
	}

	#longest(): Reader | undefined {
		let longest: Reader | undefined;
		let longestBytes = 0;
		for (const [reader, bytes] of this.#unfinished) {
			if (bytes > longestBytes) {
				longest = reader;
				longestBytes = bytes;
			}
		}

		return longest;
	}
}
