/** One connection to an upstream: one request at a time, answers matched by their request's id. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {AnswerParser} from './answer-parser.js';
import {
	headerOf, type ExchangeFailure, type OutgoingRequest, type UpstreamAnswer,
} from './exchange.js';

const millisecondsPerSecond = 1000;
/** Idle time after which a connection is closed where the upstream names none. */
const defaultIdleMs = 4000;
/** Closed this much earlier than the upstream would, so that no request crosses its close. */
const idleMarginMs = 1000;

export type ConnectionOptions = {
	readonly host: string;
	readonly port: number;
	/** Name of the header by which answers name their request. */
	readonly requestIdHeader: string;
	readonly connectTimeoutMs: number;
	readonly now: () => number;
	readonly onClosed: (connection: UpstreamConnection) => void;
};

type Waiting = {
	readonly request: OutgoingRequest;
	readonly settle: (result: Result<UpstreamAnswer, ExchangeFailure>) => void;
	readonly timer: NodeJS.Timeout;
};

/** Owns its socket. A connection that ever misbehaved takes no further request. */
export class UpstreamConnection {
	readonly #options: ConnectionOptions;
	readonly #socket: Socket;
	readonly #parser: AnswerParser;
	#isConnected = false;
	#isClosed = false;
	/** Bytes came that belong to no request; what comes next can't be trusted for a further one. */
	#isSpent = false;
	#waiting: Waiting | undefined;
	#idleUntilMs = 0;

	constructor(options: ConnectionOptions) {
		this.#options = options;
		this.#parser = new AnswerParser({
			expectsNoBody: () => this.#waiting?.request.method === 'HEAD',
			onAnswer: (answer, keepAlive) => {
				this.#answered(answer, keepAlive);
			},
		});
		// Half open, so that the end of an answer can be told from a reset before the handle is closed.
		this.#socket = connect({
			host: options.host, port: options.port, noDelay: true, allowHalfOpen: true,
		});
		this.#listen();
	}

	/** Whether a further request may be sent on it now. */
	get isReusable(): boolean {
		return !this.#isClosed && !this.#isSpent && this.#isConnected && this.#waiting === undefined && this.#options.now() < this.#idleUntilMs;
	}

	/** Whether it was ever open; nothing is sent on it before. */
	get isConnected(): boolean {
		return this.#isConnected;
	}

	/** Sends one request; resolves once its answer is whole or it has failed. */
	async exchange(request: OutgoingRequest): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		return new Promise(resolve => {
			if (this.#isClosed) {
				resolve(err({type: 'not-connected', message: 'closed before it was used', isTimeout: false}));
				return;
			}

			const timer = setTimeout(() => {
				this.#fail(this.#isConnected ? {type: 'timed-out'} : {type: 'not-connected', message: 'no connection in time', isTimeout: true});
			}, Math.max(1, this.#isConnected ? request.timeoutMs : Math.min(request.timeoutMs, this.#options.connectTimeoutMs)));
			this.#waiting = {request, timer, settle: resolve};
			if (this.#isConnected) {
				this.#send(request);
			}
		});
	}

	/** Gives up the request under way; most upstreams then stop working on it. */
	cancel(): void {
		this.#fail({type: 'cancelled'});
	}

	close(): void {
		this.#isClosed = true;
		this.#socket.destroy();
	}

	#listen(): void {
		this.#socket.on('connect', () => {
			this.#connected();
		});
		this.#socket.on('data', chunk => {
			this.#received(chunk);
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
		const waiting = this.#waiting;
		if (waiting === undefined) {
			this.#idleUntilMs = this.#options.now() + defaultIdleMs;
			return;
		}

		clearTimeout(waiting.timer);
		const timer = setTimeout(() => {
			this.#fail({type: 'timed-out'});
		}, Math.max(1, waiting.request.timeoutMs));
		this.#waiting = {...waiting, timer};
		this.#send(waiting.request);
	}

	#send({method, target, headers, body}: OutgoingRequest): void {
		let head = `${method} ${target} HTTP/1.1\r\n`;
		for (let index = 0; index + 1 < headers.length; index += 2) {
			head += `${headers[index]}: ${headers[index + 1]}\r\n`;
		}

		const headBytes = Buffer.from(`${head}\r\n`, 'latin1');
		this.#socket.write(body === undefined ? headBytes : Buffer.concat([headBytes, body]));
	}

	#received(chunk: Uint8Array): void {
		if (this.#waiting === undefined) {
			this.#isSpent = true;
			this.close();
			return;
		}

		const fault = this.#parser.execute(chunk);
		if (fault !== undefined) {
			this.#isSpent = true;
			this.#fail({type: 'malformed', message: fault});
		}
	}

	/**
	 * The platform's event loop reports a reset that comes together with data as an orderly end; the peer's address is
	 * known only for a connection that was not reset. An answer without a length is whole only after an orderly end.
	 */
	#ended(): void {
		const wasReset = this.#socket.remoteAddress === undefined;
		const fault = wasReset ? 'reset' : this.#parser.finish();
		this.#fail({type: 'broken', message: fault ?? 'ended without an answer'});
	}

	#answered(answer: UpstreamAnswer, keepAlive: boolean): void {
		const waiting = this.#waiting;
		const answeredId = headerOf(answer.headers, this.#options.requestIdHeader);
		if (waiting === undefined || (answeredId !== undefined && answeredId !== waiting.request.requestId)) {
			// The answer of an earlier request, or a second one: the own answer may still follow.
			this.#isSpent = true;
			return;
		}

		clearTimeout(waiting.timer);
		this.#waiting = undefined;
		this.#idleUntilMs = this.#options.now() + idleTimeMs(answer);
		if (!keepAlive || this.#socket.writableLength > 0) {
			// Bytes of a request that was answered early would reach the upstream as the next request.
			this.#isSpent = true;
		}

		if (this.#isSpent) {
			this.close();
		}

		waiting.settle(ok(answer));
	}

	#fail(failure: ExchangeFailure): void {
		this.close();
		const waiting = this.#waiting;
		this.#waiting = undefined;
		if (waiting !== undefined) {
			clearTimeout(waiting.timer);
			waiting.settle(err(failure));
		}
	}
}

function idleTimeMs(answer: UpstreamAnswer): number {
	const stated = /timeout=(\d+)/.exec(headerOf(answer.headers, 'keep-alive') ?? '')?.[1];
	const idleMs = stated === undefined ? defaultIdleMs : Number(stated) * millisecondsPerSecond;
	return Math.max(0, idleMs - idleMarginMs);
}
