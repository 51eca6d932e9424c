/** One connection of a caller: starts its requests, returns the answers in their order and closes it with the last one. */
import {STATUS_CODES, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {RequestSequence} from '@cairnbank/core/connections';
import {breakOff} from './body-reader.js';

export type CallerConnectionOptions = {
	readonly socket: Socket;
	/** Starts a request that was read at a time of the monotonic clock. */
	readonly onStart: (request: IncomingMessage, response: ServerResponse, receivedAtMs: number) => void;
	readonly onSentAhead: () => void;
	/** Called for each request that is never started. */
	readonly onIgnored: () => void;
};

type Arrived = {readonly request: IncomingMessage; readonly receivedAtMs: number};

const badRequestStatus = 400;
/** Statuses for faults of the HTTP parser; all others are bad requests. */
const faultStatuses: Readonly<Record<string, number>> = {
	HPE_HEADER_OVERFLOW: 431,
	HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
	ERR_HTTP_REQUEST_TIMEOUT: 408,
};

export class CallerConnection {
	readonly #options: CallerConnectionOptions;
	readonly #sequence = new RequestSequence<ServerResponse>();
	readonly #arrived = new Map<ServerResponse, Arrived>();
	/** Writes answers that are ready and wait for those before them. */
	readonly #pendingWrites = new Map<ServerResponse, (isLast: boolean) => void>();
	#newest: ServerResponse | undefined;
	#faultStatus: number | undefined;
	#isClosed = false;
	#isDiscarding = false;
	#hasAnnouncedClose = false;

	constructor(options: CallerConnectionOptions) {
		this.#options = options;
		options.socket.on('close', () => {
			this.#closed();
		});
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

	receive(request: IncomingMessage, response: ServerResponse, receivedAtMs: number): void {
		if (request.headers.host === undefined && request.httpVersion === '1.1') {
			this.fail('no host');
		}

		const isSentAhead = this.#sequence.started.length > 0;
		const arrival = this.#sequence.arrived(response, !response.shouldKeepAlive);
		if (arrival === 'ignored') {
			this.#options.onIgnored();
			this.#discardFurtherBytes();
			return;
		}

		if (isSentAhead) {
			this.#options.onSentAhead();
		}

		this.#newest = response;
		this.#arrived.set(response, {request, receivedAtMs});
		response.once('close', () => {
			this.#ended(response);
		});
		if (arrival === 'started') {
			this.#start(response);
		}
	}

	/**
	 * Writes an answer once those before it have been written.
	 *
	 * @param write - gets whether the connection closes after the answer
	 * @param wantsClose - whether the connection should close as soon as no request is lost
	 */
	answer(response: ServerResponse, wantsClose: () => boolean, write: (isLast: boolean) => void): void {
		const writeNow = () => {
			const isLast = this.#sequence.closesWith(response, wantsClose());
			this.#hasAnnouncedClose ||= isLast;
			write(isLast);
		};

		if (this.#sequence.isFirst(response) || this.#isClosed) {
			writeNow();
		} else {
			this.#pendingWrites.set(response, writeNow);
		}
	}

	/** Handles bytes that are no request: requests before them are answered, and the connection closes. */
	fail(code: string): void {
		if (this.#faultStatus !== undefined) {
			return;
		}

		this.#faultStatus = faultStatuses[code] ?? badRequestStatus;
		this.#sequence.closeBehind();
		this.#discardFurtherBytes();
		this.#endIncomplete();
		this.#endIfOver();
	}

	/** Starts no further request, also none of those that were read. */
	stopStarting(): void {
		for (const response of this.#sequence.closeBehindStarted()) {
			this.#arrived.delete(response);
			this.#options.onIgnored();
		}
	}

	/** Disconnects a caller, so that its answers need no memory. */
	disconnect(): void {
		this.#options.socket.destroy();
	}

	/** Ends the newest request if its body has not been read whole. */
	#endIncomplete(): void {
		const newest = this.#newest;
		const request = newest === undefined ? undefined : this.#arrived.get(newest)?.request;
		if (newest === undefined || request === undefined || request.complete) {
			return;
		}

		if (!this.#sequence.withdraw(newest)) {
			breakOff(request);
		}
	}

	#start(response: ServerResponse): void {
		const {request, receivedAtMs} = this.#arrived.get(response)!;
		this.#options.onStart(request, response, receivedAtMs);
	}

	#ended(response: ServerResponse): void {
		this.#arrived.delete(response);
		this.#pendingWrites.delete(response);
		const next = this.#sequence.ended(response);
		if (this.#isClosed) {
			return;
		}

		if (next !== undefined) {
			this.#start(next);
		}

		const first = this.#sequence.started[0];
		const write = first === undefined ? undefined : this.#pendingWrites.get(first);
		if (first !== undefined && write !== undefined) {
			this.#pendingWrites.delete(first);
			write(false);
		}

		this.#endIfOver();
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
			socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		}

		socket.destroySoon();
	}

	/** Ends the requests that have no socket yet; Node.js tells only the one whose answer comes next. */
	#closed(): void {
		this.#isClosed = true;
		for (const response of this.#sequence.started.filter(({socket}) => socket === null)) {
			response.destroy();
			response.emit('close');
		}
	}

	/** Reads on without parsing, so that requests that never start need no memory and the caller's end is noticed. */
	#discardFurtherBytes(): void {
		if (this.#isDiscarding) {
			return;
		}

		this.#isDiscarding = true;
		const {socket} = this.#options;
		// The parser must not be detached while it runs.
		setImmediate(() => {
			// Adding a listener detaches the parser from the socket; removing all then also removes the parser's own.
			socket.on('data', () => undefined);
			socket.removeAllListeners('data');
			socket.on('data', () => undefined);
			socket.resume();
		});
	}
}
