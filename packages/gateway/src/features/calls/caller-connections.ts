/** The connections of all callers, and the memory of the answers that they have not read yet. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@cairnbank/core';
import {HeldAnswers, type AnswerMemory} from '@cairnbank/core/connections';
import type {Metrics} from '../../metrics/metrics.js';
import {CallerConnection, type CallerConnectionOptions} from './caller-connection.js';
import {OpenRequest} from './open-request.js';
import {OpenRequests} from './open-requests.js';
import type {Outcome} from './outcome.js';
import {writeOutcome, type WriteOptions} from './write-outcome.js';

/** Time in which a link of 10 Mbit/s sends a few long answers. */
const heldRetryAfterMs = 500;

export type CallerConnectionsOptions = {
	readonly server: Server;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly answerMemory: Pick<AnswerMemory<unknown>, 'hold' | 'release' | 'isFull'>;
	/** Returns whether the instance leaves, so that connections close once nothing is lost by it. */
	readonly isLeaving: () => boolean;
	readonly onStart: CallerConnectionOptions['onStart'];
	readonly onIgnored: CallerConnectionOptions['onIgnored'];
	/** Called if an outcome could not be written; its caller gets another one, or is disconnected. */
	readonly onWriteFault: (error: unknown) => void;
};

export class CallerConnections {
	/** Requests that will be answered and whose answers are not complete. */
	readonly open = new OpenRequests();
	readonly #options: CallerConnectionsOptions;
	readonly #connections = new Map<Socket, CallerConnection>();
	readonly #owners = new WeakMap<OpenRequest, CallerConnection>();
	readonly #held: HeldAnswers<CallerConnection>;

	constructor(options: CallerConnectionsOptions) {
		this.#options = options;
		const {server, clock, metrics, answerMemory, onStart, onIgnored} = options;
		this.#held = new HeldAnswers(clock, answerMemory);
		server.on('connection', (socket: Socket) => {
			this.#connections.set(socket, new CallerConnection({
				socket,
				onOpened: request => {
					this.open.add(request);
				},
				onStart,
				onSentAhead() {
					metrics.requestsSentAhead.inc();
				},
				onIgnored(request, isFirst) {
					metrics.requestsBehindClose.inc();
					onIgnored(request, isFirst);
				},
			}));
			socket.once('close', () => {
				this.#connections.delete(socket);
			});
		});
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			const connection = this.#connections.get(request.socket)!;
			const open = new OpenRequest(request, response, clock.monotonicMs());
			this.#owners.set(open, connection);
			connection.receive(open);
		});
		server.on('clientError', ({code}: NodeJS.ErrnoException, socket: Socket) => {
			if (code === 'ECONNRESET' || !socket.writable) {
				socket.destroy();
			} else {
				this.#connections.get(socket)?.fail(code ?? '');
			}
		});
	}

	/** Starts none of the requests that wait on their connections, as the instance stops before they could end. */
	stopStarting(): void {
		for (const connection of this.#connections.values()) {
			connection.stopStarting();
		}
	}

	/** Returns the outcome of a request whose answer could not be held; undefined if there is room. */
	refusal(): Outcome | undefined {
		for (const connection of this.#held.stalled()) {
			connection.disconnect();
		}

		return this.#held.isFull ? {type: 'not-run', reason: 'answers-held', retryAfterMs: heldRetryAfterMs} : undefined;
	}

	/** Writes the outcome of a request in the order of its connection. */
	respond(open: OpenRequest, outcome: Outcome): void {
		const connection = this.#owners.get(open)!;
		const {response} = open;
		const bytes = outcome.type === 'answered' ? outcome.answer.body.length : 0;
		if (bytes > 0 && !response.destroyed) {
			this.#hold(connection, response, bytes);
		}

		open.unwrittenBytes = bytes;
		connection.answer(open, this.#options.isLeaving, isLast => {
			this.#held.progressed(connection);
			this.#write(response, outcome, {
				isLast,
				faultStatus: connection.faultStatus,
				onProgress: writtenBytes => {
					open.unwrittenBytes = Math.max(0, bytes - writtenBytes);
					this.#held.progressed(connection);
				},
			});
		});
	}

	#write(response: ServerResponse, outcome: Outcome, options: WriteOptions): void {
		try {
			writeOutcome(response, outcome, options);
		} catch (error) {
			this.#options.onWriteFault(error);
			if (response.headersSent) {
				response.destroy();
			} else {
				writeOutcome(response, {type: 'unknown', reason: 'internal-error'}, options);
			}
		}
	}

	#hold(connection: CallerConnection, response: ServerResponse, bytes: number): void {
		const {heldAnswerBytes} = this.#options.metrics;
		this.#held.hold(connection, bytes);
		heldAnswerBytes.set(this.#held.bytes);
		// Releases it before the next answer is written, as that one's progress counts from then.
		response.prependOnceListener('close', () => {
			this.#held.release(connection, bytes);
			heldAnswerBytes.set(this.#held.bytes);
		});
	}
}
