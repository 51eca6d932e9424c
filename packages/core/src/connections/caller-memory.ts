/** Bounds the memory of all that callers make an instance hold. */
import type {Clock} from '../model/clock.js';

/** A body that is being read and can be given up to make room for others. */
export type UnfinishedBody = {
	/** Called as its memory is taken back; its request is refused before it runs. */
	readonly giveUp: () => void;
};

export type CallerMemoryOptions = {
	readonly clock: Clock;
	/** Memory of heads, bodies and answers together. */
	readonly maximumBytes: number;
	readonly maximumBodyBytes: number;
	/** Returns the memory of all answers, which have bounds of their own beside this one. */
	readonly answerBytes: () => number;
	/** Called with the bytes that are reserved for a body or a part of one. */
	readonly onReserved?: (bytes: number) => void;
};

/** Time after which an unfinished body may have to make room: one that comes at the speed of a sound link has mostly arrived by then. */
export const unfinishedBodyGraceMs = 200;

/** Part of the memory that requests may take which wait behind others on their connections, or are never started. */
const waitingRatio = 0.25;

type Unfinished = {bytes: number; readonly startedAtMs: number};

export class CallerMemory {
	readonly #options: CallerMemoryOptions;
	readonly #unfinished = new Map<UnfinishedBody, Unfinished>();
	#bodyBytes = 0;
	#headBytes = 0;
	#waitingBytes = 0;

	constructor(options: CallerMemoryOptions) {
		this.#options = options;
	}

	/** Memory of all bodies, those that are announced and have not arrived among them. */
	get bodyBytes(): number {
		return this.#bodyBytes;
	}

	/** Memory of connections and of the heads of requests. */
	get headBytes(): number {
		return this.#headBytes;
	}

	get maximumBodyBytes(): number {
		return this.#options.maximumBodyBytes;
	}

	/**
	 * Reserves memory for a body or a part of one. A longer body that has been arriving for some time gives way, as short ones of callers that
	 * behave would be refused otherwise for as long as others leave theirs unfinished.
	 *
	 * @returns false, and reserves none, if too little is left
	 */
	reserveBody(body: UnfinishedBody, bytes: number): boolean {
		const unfinished = this.#unfinished.get(body) ?? {bytes: 0, startedAtMs: this.#options.clock.monotonicMs()};
		const neededBytes = unfinished.bytes + bytes;
		while (!this.#hasRoom(bytes) || this.#bodyBytes + bytes > this.#options.maximumBodyBytes) {
			if (!this.#giveUpLongest(neededBytes)) {
				return false;
			}
		}

		unfinished.bytes = neededBytes;
		this.#unfinished.set(body, unfinished);
		this.#bodyBytes += bytes;
		this.#options.onReserved?.(bytes);
		return true;
	}

	/** Records that a body has arrived, so that it is kept until its request ends. */
	completeBody(body: UnfinishedBody): void {
		this.#unfinished.delete(body);
	}

	/** Frees the memory of a body. */
	releaseBody(body: UnfinishedBody, bytes: number): void {
		this.#unfinished.delete(body);
		this.#bodyBytes -= bytes;
	}

	/** Reserves memory for a connection or the head of a request; returns false, and reserves none, if too little is left. */
	reserveHead(bytes: number): boolean {
		while (!this.#hasRoom(bytes)) {
			if (!this.#giveUpLongest(0)) {
				return false;
			}
		}

		this.#headBytes += bytes;
		return true;
	}

	releaseHead(bytes: number): void {
		this.#headBytes -= bytes;
	}

	/** Reserves memory for a request that waits behind others on its connection, or is never started. Such requests leave room for those that run. */
	reserveWaiting(bytes: number): boolean {
		if (this.#waitingBytes + bytes > this.#options.maximumBytes * waitingRatio || !this.reserveHead(bytes)) {
			return false;
		}

		this.#waitingBytes += bytes;
		return true;
	}

	releaseWaiting(bytes: number): void {
		this.#waitingBytes -= bytes;
		this.releaseHead(bytes);
	}

	/** Returns the memory that answers may take; unfinished bodies give way to them, as the requests of answers have run. */
	roomForAnswers(): number {
		while (!this.#hasRoom(0) && this.#giveUpLongest(0)) {
			// Each turn frees the memory of one body.
		}

		return this.#options.maximumBytes - this.#headBytes - this.#bodyBytes;
	}

	#hasRoom(bytes: number): boolean {
		return this.#headBytes + this.#bodyBytes + this.#options.answerBytes() + bytes <= this.#options.maximumBytes;
	}

	/** @returns whether an unfinished body of more than these bytes was given up */
	#giveUpLongest(minimumBytes: number): boolean {
		const startedBeforeMs = this.#options.clock.monotonicMs() - unfinishedBodyGraceMs;
		let longest: UnfinishedBody | undefined;
		let longestBytes = minimumBytes;
		for (const [body, {bytes, startedAtMs}] of this.#unfinished) {
			if (bytes > longestBytes && startedAtMs <= startedBeforeMs) {
				longest = body;
				longestBytes = bytes;
			}
		}

		if (longest === undefined) {
			return false;
		}

		this.releaseBody(longest, longestBytes);
		longest.giveUp();
		return true;
	}
}
