/** One connection of a caller: starts its requests, returns the answers in their order and closes it with the last one. */
import {RequestSequence} from '@cairnbank/core/connections';
import {memoryOf, skipRequestsIf} from '@cairnbank/core/runtime';
import {waitTurns} from '../../kernel/arrivals.js';
import {breakOff, untilBodyIsRead} from './body-reader.js';
import type {CallerConnectionOptions} from './caller-connection-options.js';
import {GracefulClose} from './graceful-close.js';
import type {OpenRequest} from './open-request.js';
import {answerToFault, statusOfFault} from './parser-faults.js';
import {WrittenAnswers} from './written-answers.js';

type ReadyAnswer = {readonly wantsClose: () => boolean; readonly write: (isLast: boolean) => void};

/** Time for which the rest of a refused request's body is awaited before its answer closes the connection. */
const maximumBodyWaitMs = 50;
/** Requests behind the end of a connection that are counted and logged; the runtime keeps each of them until the connection is closed. */
const maximumIgnored = 64;
/** Turns of the event loop in which the rest of what has arrived on a connection is read; one reads it in parts. */
const turnsToRead = 2;

export class CallerConnection {
	readonly #options: CallerConnectionOptions;
	readonly #sequence = new RequestSequence<OpenRequest>();
	readonly #written: WrittenAnswers;
	readonly #gracefulClose: GracefulClose;
	/** Answers that are ready and not being written yet. */
	readonly #ready = new Map<OpenRequest, ReadyAnswer>();
	/** The request that arrived last, while it is open or its body is incomplete. */
	#newest: OpenRequest | undefined;
	#faultStatus: number | undefined;
	#isClosed = false;
	#ignored = 0;
	#hasAnnouncedClose = false;

	constructor(options: CallerConnectionOptions) {
		this.#options = options;
		this.#written = new WrittenAnswers(options.socket, options.writtenTotal);
		this.#gracefulClose = new GracefulClose(options.socket, options.gracefulClose, () => {
			this.close();
		});
		skipRequestsIf(options.socket, () => this.#ignored >= maximumIgnored || options.socket.destroyed);
		options.socket.on('close', () => {
			this.#closed();
		});
		// The server calls it once the last answer is written.
		options.socket.destroySoon = () => {
			this.#gracefulClose.discardFurtherBytes();
			this.close();
		};

		// An orderly end cannot be told from a caller that has left, so its requests are cancelled.
		options.socket.on('end', () => {
			if (this.#sequence.started.length > 0) {
				options.socket.destroy();
			}
		});
	}

	/** Status of the answer to a request that could not be parsed; undefined if there is none. */
	get faultStatus(): number | undefined {
		return this.#faultStatus;
	}

	receive(open: OpenRequest): void {
		const {request, response} = open;
		if (request.headers.host === undefined && request.httpVersion === '1.1') {
			this.fail('no host');
		}

		const isSentAhead = this.#sequence.started.length > 0;
		this.#reserveMemory(open);
		const arrival = this.#sequence.arrived(open, !response.shouldKeepAlive);
		if (arrival === 'ignored') {
			this.#ignore(open);
			return;
		}

		if (isSentAhead) {
			this.#options.onSentAhead();
		} else {
			this.#written.callerHasAll();
		}

		this.#newest = open;
		this.#options.onOpened(open);
		response.once('close', () => {
			this.#ended(open);
		});
		if (arrival === 'started') {
			this.#options.onStart(open);
		}
	}

	/**
	 * Writes an answer once those before it have been written.
	 *
	 * @param write - gets whether the connection closes after the answer
	 * @param wantsClose - whether the connection should close as soon as no request is lost
	 */
	answer(open: OpenRequest, wantsClose: () => boolean, write: (isLast: boolean) => void): void {
		open.state = 'answered';
		this.#ready.set(open, {wantsClose, write});
		if (this.#isClosed) {
			this.#write(open);
		} else {
			this.#writeFirst();
		}
	}

	/** Handles bytes that are no request: requests before them are answered, and the connection closes. */
	fail(code: string): void {
		if (this.#faultStatus !== undefined) {
			return;
		}

		this.#faultStatus = statusOfFault(code);
		this.#sequence.closeBehind();
		this.#gracefulClose.discardFurtherBytes();
		this.#endIncomplete();
		this.#endIfOver();
	}

	/** Starts all requests that wait, and those that arrive from now on, as none of them will run. */
	startAtOnce(): void {
		for (const open of this.#sequence.startAtOnce()) {
			this.#options.onStart(open);
		}
	}

	get isClosing(): boolean {
		return this.#gracefulClose.hasBegun;
	}

	/** True if the connection may be ended to make room for others: its last answer is written, or its only request has not arrived whole. */
	get mayEnd(): boolean {
		const {unanswered} = this.#sequence;
		return (this.isClosing && !this.#options.gracefulClose.isLeaving()) || (unanswered.length === 1 && unanswered[0]!.state === 'reading-body');
	}

	/** Closes the connection, on which no request is open. One that crosses the close is ignored. */
	close(): void {
		this.#sequence.closeBehind();
		this.#gracefulClose.begin();
	}

	/** Disconnects a caller, whether it has its answers or not. */
	disconnect(): void {
		this.#gracefulClose.destroy();
	}

	/** Reports the answers that the caller isn't known to have. */
	reportUndelivered(): void {
		const undelivered = this.#written.take();
		if (undelivered.answers.length > 0) {
			this.#options.onUndelivered(undelivered);
		}
	}

	/** Reserves memory for a request. If there is none, it is refused at its turn if that has come, and ignored behind others, whose answers would hold it. */
	#reserveMemory(open: OpenRequest): void {
		if (this.#sequence.isClosing) {
			return;
		}

		const release = this.#options.memory.reserve(memoryOf(open.request), !this.#sequence.startsNext);
		if (release !== undefined) {
			open.response.once('close', release);
			return;
		}

		open.hasMemory = false;
		if (this.#sequence.started.length > 0) {
			this.#sequence.closeBehind();
		}
	}

	#ignore(open: OpenRequest): void {
		this.#options.onIgnored(open, this.#ignored === 0);
		this.#ignored += 1;
		if (this.#options.memory.reserveIgnored(memoryOf(open.request))) {
			this.#gracefulClose.discardFurtherBytes();
		} else {
			this.disconnect();
		}
	}

	/** Writes the answer whose turn it is, if it is ready. */
	#writeFirst(): void {
		const [first] = this.#sequence.started;
		const ready = first === undefined ? undefined : this.#ready.get(first);
		if (first === undefined || ready === undefined) {
			return;
		}

		if (ready.wantsClose() && this.#sequence.unanswered.length === 1) {
			void this.#writeOnceRead(first);
		} else {
			this.#write(first);
		}
	}

	/** Writes an answer that may close the connection. Requests behind it that have arrived are read before, as they would be dropped. */
	async #writeOnceRead(open: OpenRequest): Promise<void> {
		if (!open.request.complete) {
			await untilBodyIsRead(open.request, maximumBodyWaitMs);
		}

		await waitTurns(turnsToRead);
		this.#write(open);
	}

	#write(open: OpenRequest): void {
		const ready = this.#ready.get(open);
		if (ready === undefined) {
			return;
		}

		this.#ready.delete(open);
		const isLast = this.#sequence.closesWith(open, ready.wantsClose());
		this.#hasAnnouncedClose ||= isLast;
		open.state = 'writing';
		ready.write(isLast);
	}

	/** Ends the newest request if its body has not been read whole. */
	#endIncomplete(): void {
		const newest = this.#newest;
		if (newest === undefined || newest.request.complete) {
			return;
		}

		if (this.#sequence.withdraw(newest)) {
			newest.response.emit('close');
		} else {
			breakOff(newest.request);
		}
	}

	#ended(open: OpenRequest): void {
		this.#ready.delete(open);
		if (this.#newest === open && open.request.complete) {
			this.#newest = undefined;
		}

		if (open.response.writableFinished) {
			this.#written.add(this.#options.recordWritten(open));
		}

		const next = this.#sequence.ended(open);
		if (this.#isClosed) {
			return;
		}

		if (next !== undefined) {
			this.#options.onStart(next);
		}

		this.#writeFirst();
		this.#endIfOver();
		if (this.#sequence.unanswered.length === 0 && !this.#hasAnnouncedClose) {
			this.#options.onIdle();
		}
	}

	/** Closes a connection whose last answer did not say so, as the reason to close came after it. */
	#endIfOver(): void {
		const {socket} = this.#options;
		if (!this.#sequence.isOver || this.#hasAnnouncedClose || !socket.writable) {
			return;
		}

		this.#hasAnnouncedClose = true;
		const status = this.#faultStatus;
		if (status !== undefined) {
			socket.write(answerToFault(status));
		}

		socket.destroySoon();
	}

	/** Closes the responses that have no socket yet; Node.js closes only the one whose answer comes next. */
	#closed(): void {
		this.#isClosed = true;
		this.#options.memory.releaseIgnored();
		this.reportUndelivered();
		for (const {response} of this.#sequence.unanswered.filter(({response: {socket}}) => socket === null)) {
			response.destroy();
			response.emit('close');
		}
	}
}
