/** The answers of one connection that have left the process, and that the caller isn't known to have. */
import type {Socket} from 'node:net';
import type {LogFields} from '../../logging/create-logger.js';

/** Answers that are remembered for each connection; a caller that always has a request open would need one more for each. */
const maximumAnswers = 64;
/** Answers that are remembered for all connections, at some 1 KB each. Beyond, only the newest one of a connection is. */
const maximumTotal = 8192;

/** Number of answers that are remembered for all connections. */
export type WrittenTotal = {count: number};

export type WrittenAnswer = {
	/** Names the request and its answer in the log. */
	readonly fields: LogFields;
	/** Time of the monotonic clock at which the whole answer had left the process. */
	readonly writtenAtMs: number;
};

/** What ended a connection before its caller did. */
export type UndeliveredReason =
	| 'caller-reset'
	/** The instance disconnected the caller before the end of the stop. */
	| 'disconnected'
	/** It was open at the end of the stop. */
	| 'stop-over';

export type Undelivered = {
	/** The newest ones, in the order in which they were written. */
	readonly answers: readonly WrittenAnswer[];
	readonly reason: UndeliveredReason;
	/** Bytes that the process still holds. */
	readonly heldBytes: number;
};

export class WrittenAnswers {
	readonly #socket: Socket;
	#answers: WrittenAnswer[] = [];
	#hasError = false;
	readonly #total: WrittenTotal;

	constructor(socket: Socket, total: WrittenTotal) {
		this.#socket = socket;
		this.#total = total;
		socket.on('error', () => {
			this.#hasError = true;
		});
		// A caller that closes has what it wants of its answers.
		socket.on('end', () => {
			this.callerHasAll();
		});
	}

	add(answer: WrittenAnswer): void {
		this.#answers.push(answer);
		this.#total.count += 1;
		while (this.#answers.length > maximumAnswers || (this.#answers.length > 1 && this.#total.count > maximumTotal)) {
			this.#answers.shift();
			this.#total.count -= 1;
		}
	}

	/** Forgets all answers so far, as the caller goes on after them. */
	callerHasAll(): void {
		this.#total.count -= this.#answers.length;
		this.#answers = [];
	}

	/** Returns the answers whose delivery is not known as the connection ends, and forgets them. */
	take(): Undelivered {
		const answers = this.#answers;
		this.callerHasAll();
		return {answers, reason: this.#reason(), heldBytes: this.#socket.writableLength};
	}

	#reason(): UndeliveredReason {
		if (!this.#socket.destroyed) {
			return 'stop-over';
		}

		return this.#hasError ? 'caller-reset' : 'disconnected';
	}
}
