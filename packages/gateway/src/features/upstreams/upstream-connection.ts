/** One connection to an upstream; carries one request at a time and matches answers by request id. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import type {AnswerMemory} from '@cairnbank/core/connections';
import {err, ok, type Result} from 'neverthrow';
import {AnswerReading} from '../../kernel/answer-reading.js';
import {TimeLimit} from '../../kernel/time-limit.js';
import {AnswerParser} from './answer-parser.js';
import type {ExchangeFailure, OutgoingRequest} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';
import {matchAnswer} from './match-answer.js';
import {defaultIdleMs, idleTimeMs} from './idle-time.js';

/** Bytes of one read. All connections share it, as their parsers copy what they keep. */
const readBuffer = Buffer.allocUnsafeSlow(65_536);
/** Time for which the answer to a cancelled request is still read; it may be on its way. */
const lateAnswerMs = 100;

export type UpstreamConnectionOptions = {
	readonly host: string;
	readonly port: number;
	/** Name of the header that carries the id of the answered request. */
	readonly requestIdHeader: string;
	readonly connectTimeoutMs: number;
	readonly answerMemory: AnswerMemory<AnswerReading>;
	readonly now: () => number;
	/** Called when the upstream has answered a request. */
	readonly onAnswered: () => void;
	/** Called when the connection could not be opened. */
	readonly onNotConnected: (isTimeout: boolean) => void;
	/** Called when the connection is open and carries no request yet. */
	readonly onIdle: (connection: UpstreamConnection) => void;
	/** Called when the upstream has refused or closed the connection while it carried no request. */
	readonly onLost: () => void;
	/** Called when an answer is given up for want of memory, with the bytes that were read of it. */
	readonly onOutgrown: (bytes: number) => void;
	readonly onClosed: (connection: UpstreamConnection) => void;
};

type PendingExchange = {
	readonly request: OutgoingRequest;
	readonly settle: (result: Result<UpstreamAnswer, ExchangeFailure>) => void;
	readonly limit: TimeLimit;
};

/** Owns its socket. Takes no further request after any protocol violation. */
export class UpstreamConnection {
	readonly #options: UpstreamConnectionOptions;
	readonly #socket: Socket;
	readonly #parser: AnswerParser;
	readonly #reading: AnswerReading;
	#isConnected = false;
	#isClosed = false;
	/** No further request may be sent, as later bytes could not be matched to it reliably, or the connection won't be kept open. */
	#isRetired = false;
	/** Set while only the late end of an abandoned request is awaited, after which the connection closes. */
	#awaitsLateEnd = false;
	#pending: PendingExchange | undefined;
	/** True once the connection has carried an answer, behind which bytes of another one may come. */
	#hasAnswered = false;
	#idleUntilMs = 0;

	constructor(options: UpstreamConnectionOptions) {
		this.#options = options;
		this.#parser = new AnswerParser(() => this.#pending?.request.method === 'HEAD');
		this.#reading = new AnswerReading({
			memory: options.answerMemory,
			onOutgrown: bytes => {
				options.onOutgrown(bytes);
				this.#fail({type: 'answer-outgrown'});
			},
		});
		// Half-open, so that an orderly end can be distinguished from a reset before the handle is closed.
		this.#socket = connect({
			host: options.host,
			port: options.port,
			noDelay: true,
			allowHalfOpen: true,
			onread: {
				buffer: readBuffer,
				callback: readBytes => {
					this.#received(readBuffer.subarray(0, readBytes));
					return readBytes < readBuffer.length || this.#readOnLater();
				},
			},
		});
		this.#addListeners();
	}

	/** True if a further request may be sent on the connection now. */
	get isReusable(): boolean {
		return !this.#isClosed && !this.#isRetired && this.#isConnected && this.#pending === undefined && this.#options.now() < this.#idleUntilMs;
	}

	/** True if the connection was ever open; nothing is sent before. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Bytes read of all answers on this connection. */
	get readBytes(): number {
		return this.#reading.readBytes;
	}

	/** Sends one request; resolves once its answer is complete or the exchange has failed. */
	async exchange(request: OutgoingRequest): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		return new Promise(resolve => {
			if (this.#isClosed) {
				resolve(err({type: 'not-connected', message: 'connection closed before use', isTimeout: false}));
				return;
			}

			const limit = new TimeLimit(this.#isConnected ? request.timeoutMs : Math.min(request.timeoutMs, this.#options.connectTimeoutMs), this, () => {
				if (this.#isConnected) {
					this.#giveUp({type: 'timed-out'});
				} else {
					this.#fail({type: 'not-connected', message: 'connect timeout', isTimeout: true});
				}
			});
			this.#pending = {request, limit, settle: resolve};
			if (this.#isConnected) {
				this.#send(request);
			}
		});
	}

	/** Cancels the running request by closing the connection; most upstreams then stop processing it. */
	cancel(): void {
		this.#giveUp({type: 'cancelled'});
	}

	close(): void {
		if (!this.#awaitsLateEnd) {
			this.#destroy();
		}
	}

	/** Ends the running request without its answer, which is still read for a moment if something is to be learned from it. */
	#giveUp(failure: ExchangeFailure): void {
		const pending = this.#pending;
		const {onLateEnd} = pending?.request ?? {};
		const isSent = this.#isConnected && !this.#isClosed && this.#socket.writableLength === 0;
		if (pending !== undefined && onLateEnd !== undefined && isSent) {
			this.#awaitLateEnd(pending, onLateEnd, failure);
		} else {
			this.#fail(failure);
		}
	}

	#destroy(): void {
		this.#isClosed = true;
		this.#parser.discard();
		this.#reading.end();
		this.#socket.destroy();
	}

	/** Ends the sending side only: the upstream notices the same as from a close, and what it has answered meanwhile is still read. */
	#awaitLateEnd({request, limit, settle}: PendingExchange, onLateEnd: NonNullable<OutgoingRequest['onLateEnd']>, failure: ExchangeFailure): void {
		limit.clear();
		this.#awaitsLateEnd = true;
		this.#isRetired = true;
		this.#pending = {
			request,
			limit: new TimeLimit(lateAnswerMs, this, () => {
				this.#fail({type: 'cancelled'});
			}),
			settle(result) {
				if (result.isOk() || result.error.type !== 'cancelled') {
					onLateEnd(result);
				}
			},
		};
		this.#socket.end();
		settle(err(failure));
	}

	#addListeners(): void {
		this.#socket.on('connect', () => {
			this.#connected();
		});
		this.#socket.on('end', () => {
			this.#ended();
		});
		this.#socket.on('error', error => {
			this.#fail(this.#isConnected ? {type: 'broken', message: error.message} : {type: 'not-connected', message: error.message, isTimeout: false});
		});
		this.#socket.on('close', () => {
			this.#fail({type: 'broken', message: 'closed'});
			this.#options.onClosed(this);
		});
	}

	#connected(): void {
		this.#isConnected = true;
		const pending = this.#pending;
		if (pending === undefined) {
			this.#idleUntilMs = this.#options.now() + defaultIdleMs;
			this.#options.onIdle(this);
			return;
		}

		pending.limit.clear();
		const limit = new TimeLimit(pending.request.timeoutMs, this, () => {
			this.#giveUp({type: 'timed-out'});
		});
		this.#pending = {...pending, limit};
		this.#send(pending.request);
	}

	#send({method, target, headers, body}: OutgoingRequest): void {
		let head = `${method} ${target} HTTP/1.1\r\n`;
		for (let index = 0; index + 1 < headers.length; index += 2) {
			head += `${headers[index]}: ${headers[index + 1]}\r\n`;
		}

		const headBytes = Buffer.from(`${head}\r\n`, 'latin1');
		if (body === undefined) {
			this.#socket.write(headBytes);
			return;
		}

		// Both leave in one packet where they fit, and a long body isn't copied.
		this.#socket.cork();
		this.#socket.write(headBytes);
		for (const part of body.parts) {
			this.#socket.write(part);
		}

		this.#socket.uncork();
	}

	/** Lets other connections and timers have their turn before more is read. Returns false, which pauses the socket. */
	#readOnLater(): false {
		setImmediate(() => {
			if (!this.#isClosed) {
				this.#socket.resume();
			}
		});
		return false;
	}

	#received(chunk: Uint8Array): void {
		if (this.#pending === undefined) {
			this.#isRetired = true;
			this.#destroy();
			return;
		}

		if (!this.#reading.add(chunk.length)) {
			return;
		}

		const parsed = this.#parser.execute(chunk);
		switch (parsed.type) {
			case 'incomplete': {
				break;
			}

			case 'answer': {
				const surplus = chunk.subarray(parsed.usedBytes);
				// Bytes behind an answer belong to no request, and more of them may follow.
				this.#isRetired ||= surplus.length > 0;
				this.#answered(parsed.answer, parsed.keepAlive);
				if (this.#pending !== undefined && surplus.length > 0) {
					this.#received(surplus);
				}

				break;
			}

			case 'malformed': {
				this.#isRetired = true;
				this.#fail({type: 'malformed', message: parsed.message});
			}
		}
	}

	/**
	 * Handles the end of the stream. Node.js reports a reset that arrives together with data as an orderly end; the remote
	 * address is available only if the connection was not reset. An answer without a length is complete only after an orderly end.
	 */
	#ended(): void {
		const wasReset = this.#socket.remoteAddress === undefined;
		const parsed = wasReset ? undefined : this.#parser.finish();
		if (parsed?.type === 'answer') {
			this.#answered(parsed.answer, false);
		}

		this.#fail({type: 'broken', message: wasReset ? 'reset' : 'connection ended before a complete answer'});
	}

	#answered(answer: UpstreamAnswer, keepAlive: boolean): void {
		const {requestIdHeader} = this.#options;
		const match = matchAnswer(answer, {request: this.#pending?.request, requestIdHeader, wasUsed: this.#hasAnswered});
		this.#hasAnswered = true;
		this.#reading.end();
		switch (match) {
			case 'own': {
				this.#settleAnswered(this.#pending!, answer, keepAlive);
				break;
			}

			case 'another': {
				this.#isRetired = true;
				break;
			}

			case 'unproven': {
				this.#isRetired = true;
				this.#fail({type: 'malformed', message: 'answer without a request id on a connection that was used before'});
			}
		}
	}

	#settleAnswered(pending: PendingExchange, answer: UpstreamAnswer, keepAlive: boolean): void {
		pending.limit.clear();
		this.#options.onAnswered();
		this.#pending = undefined;
		this.#idleUntilMs = this.#options.now() + idleTimeMs(answer);
		if (!keepAlive || this.#socket.writableLength > 0) {
			// The request was answered before it was fully sent: the upstream would read its remaining bytes as the next request.
			this.#isRetired = true;
		}

		if (this.#isRetired) {
			this.#destroy();
		}

		pending.settle(ok(answer));
	}

	#fail(failure: ExchangeFailure): void {
		const pending = this.#pending;
		if (pending === undefined && !this.#isClosed) {
			this.#options.onLost();
		}

		this.#destroy();
		this.#pending = undefined;
		if (pending !== undefined) {
			if (failure.type === 'not-connected') {
				this.#options.onNotConnected(failure.isTimeout);
			}

			pending.limit.clear();
			pending.settle(err(failure));
		}
	}
}
