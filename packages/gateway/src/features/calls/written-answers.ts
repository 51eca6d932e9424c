/** The answers of one connection that have left the process, and that the caller isn't known to have. */
import type {Socket} from 'node:net';
import type {OpenRequest} from './open-request.js';

/** What ended a connection before its caller did. */
export type UndeliveredReason =
	| 'caller-reset'
	/** The instance disconnected the caller before the end of the stop. */
	| 'disconnected'
	/** It was open at the end of the stop. */
	| 'stop-over';

export type Undelivered = {
	readonly answers: readonly OpenRequest[];
	readonly reason: UndeliveredReason;
	/** Bytes that the process still holds. */
	readonly heldBytes: number;
};

export class WrittenAnswers {
	readonly #socket: Socket;
	#answers: OpenRequest[] = [];
	#hasError = false;

	constructor(socket: Socket) {
		this.#socket = socket;
		socket.on('error', () => {
			this.#hasError = true;
		});
		// A caller that closes has what it wants of its answers.
		socket.on('end', () => {
			this.callerHasAll();
		});
	}

	add(request: OpenRequest): void {
		this.#answers.push(request);
	}

	/** Forgets all answers so far, as the caller goes on after them. */
	callerHasAll(): void {
		this.#answers = [];
	}

	/** Returns the answers whose delivery is not known as the connection ends, and forgets them. */
	take(): Undelivered {
		const answers = this.#answers;
		this.#answers = [];
		return {answers, reason: this.#reason(), heldBytes: this.#socket.writableLength};
	}

	#reason(): UndeliveredReason {
		if (!this.#socket.destroyed) {
			return 'stop-over';
		}

		return this.#hasError ? 'caller-reset' : 'disconnected';
	}
}
