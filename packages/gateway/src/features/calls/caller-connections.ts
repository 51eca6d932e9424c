/** The connections of all callers, and the memory of the answers that they have not read yet. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@cairnbank/core';
import {
	connectionBytes, ConnectionBound, HeldAnswers, type AnswerMemory, type CallerMemory,
} from '@cairnbank/core/connections';
import {readFirstInTurn, RequestMemory} from '@cairnbank/core/runtime';
import {untilArrivalsAreRead, waitTurns} from '../../kernel/arrivals.js';
import type {ConnectionLimit} from '../../kernel/connection-limit.js';
import {closeIdleConnectionsOnceRead} from '../../kernel/idle-connections.js';
import {InFlight} from '../../kernel/in-flight.js';
import type {LogFields} from '../../logging/create-logger.js';
import type {Metrics} from '../../metrics/metrics.js';
import type {CallerConnectionOptions} from './caller-connection-options.js';
import {CallerConnection} from './caller-connection.js';
import {NewConnections} from './new-connections.js';
import {OpenRequest} from './open-request.js';
import {OpenRequests} from './open-requests.js';
import type {Outcome} from './outcome.js';
import {writeOutcome, type WriteOptions} from './write-outcome.js';
import type {Undelivered, WrittenTotal} from './written-answers.js';

/** Time in which a link of 10 Mbit/s sends a few long answers. */
const heldRetryAfterMs = 500;
/** Turns of the event loop in which the rest of what has arrived on a connection is read. */
const turnsToRead = 2;

export type CallerConnectionsOptions = ConnectionLimit & {
	readonly server: Server;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly answerMemory: Pick<AnswerMemory<unknown>, 'hold' | 'release' | 'isFull'>;
	readonly callerMemory: CallerMemory;
	/** Returns whether the instance leaves, so that connections close once nothing is lost by it. */
	readonly isLeaving: () => boolean;
	/** Called for each request that will be answered, before it is started or waits. */
	readonly onArrived: (request: OpenRequest) => void;
	readonly onStart: CallerConnectionOptions['onStart'];
	readonly onIgnored: CallerConnectionOptions['onIgnored'];
	/** Returns the log fields that name a request. */
	readonly identify: (request: OpenRequest) => LogFields;
	/** Called for each connection that ends while the instance leaves, before its caller is known to have all answers. */
	readonly onUndelivered: CallerConnectionOptions['onUndelivered'];
	/** Called if an outcome could not be written; its caller gets another one, or is disconnected. */
	readonly onWriteFault: (error: unknown) => void;
};

export class CallerConnections {
	/** Requests that will be answered and whose answers are not complete. */
	readonly open: OpenRequests;
	readonly #options: CallerConnectionsOptions;
	readonly #connections = new Map<Socket, CallerConnection>();
	readonly #new: NewConnections;
	readonly #sockets = new InFlight<Socket>();
	readonly #bound: ConnectionBound<CallerConnection>;
	readonly #owners = new WeakMap<OpenRequest, CallerConnection>();
	readonly #held: HeldAnswers<CallerConnection>;
	readonly #writtenTotal: WrittenTotal = {count: 0};
	#receivedRequests = 0;
	#closesIdle = false;
	#isEndingIdle = false;

	constructor(options: CallerConnectionsOptions) {
		this.#options = options;
		const {server, clock, metrics, answerMemory} = options;
		this.open = new OpenRequests(size => {
			metrics.inFlight.set(size);
		});
		this.#held = new HeldAnswers(clock, answerMemory);
		this.#bound = new ConnectionBound(options.maximumConnections);
		closeIdleConnectionsOnceRead(server);
		this.#new = new NewConnections(server);
		server.on('connection', (socket: Socket) => {
			this.#opened(socket);
		});
		for (const event of ['request', 'checkExpectation']) {
			server.on(event, (request: IncomingMessage, response: ServerResponse) => {
				this.#receive(request, response);
			});
		}

		server.on('connect', (_request: IncomingMessage, socket: Socket) => {
			this.#connections.get(socket)?.fail('CONNECT');
		});
		server.on('clientError', ({code}: NodeJS.ErrnoException, socket: Socket) => {
			const connection = this.#connections.get(socket);
			if (code === 'ECONNRESET' || (!socket.writable && connection?.isClosing !== true)) {
				socket.destroy();
			} else {
				connection?.fail(code ?? '');
			}
		});
	}

	/**
	 * Closes the listener once all that has arrived is accepted, and the new connections on which no request comes in time.
	 *
	 * @param isOver - returns whether the instance has stopped
	 */
	async closeListener(isOver: () => boolean): Promise<void> {
		await this.#new.closeListener(() => this.#connections.keys(), isOver);
		await this.#new.untilUsed();
		await this.untilArrivalsAreRead(isOver);
		for (const socket of this.#new.unused) {
			this.#connections.get(socket)?.close();
		}
	}

	/**
	 * Resolves once the requests that have arrived are read; closing their connections before would reset them.
	 *
	 * @param isOver - returns whether the instance has stopped
	 */
	async untilArrivalsAreRead(isOver: () => boolean): Promise<void> {
		await untilArrivalsAreRead(() => this.#receivedRequests, isOver);
	}

	/** Closes each connection once no request is open on it or has begun to arrive. Resolves once their callers have closed all of them. */
	async untilClosed(): Promise<void> {
		this.#closesIdle = true;
		await this.#closeIdle();
		await this.#sockets.untilEmpty();
	}

	/** True while requests may come on an open connection, or have no complete answer. */
	get isBusy(): boolean {
		return this.#sockets.size > 0 || this.open.size > 0;
	}

	/** Ends the connections that their callers have not closed after the last answer, as one that never closes would hold the stop. */
	endLingering(): void {
		for (const connection of this.#connections.values()) {
			if (connection.isClosing) {
				connection.reportUndelivered();
				connection.disconnect();
			}
		}
	}

	/** Ends the connections that linger; reports all answers that callers are not known to have. */
	stop(): void {
		this.endLingering();
		for (const connection of this.#connections.values()) {
			connection.reportUndelivered();
		}
	}

	/** Starts all requests that wait on their connections, and those that arrive from now on, as none of them will run. */
	startAtOnce(): void {
		for (const connection of this.#connections.values()) {
			connection.startAtOnce();
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
		open.answerBytes = bytes;
		// The rest of a late body may never come, and nothing can be read behind it.
		const endsBehind = outcome.type === 'bad-request' && outcome.reason === 'body-late';
		connection.answer(open, () => endsBehind || this.#options.isLeaving(), isLast => {
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

	#opened(socket: Socket): void {
		this.#new.opened(socket);
		readFirstInTurn(socket);
		this.#sockets.add(socket);
		const connection = this.#createConnection(socket);
		this.#connections.set(socket, connection);
		const hasMemory = this.#options.callerMemory.reserveHead(connectionBytes);
		socket.once('close', () => {
			this.#options.callerMemory.releaseHead(hasMemory ? connectionBytes : 0);
			this.#connections.delete(socket);
			this.#bound.closed(connection);
			this.#new.used(socket);
			this.#sockets.delete(socket);
		});
		const tooMany = hasMemory ? this.#bound.opened(connection, busy => busy.mayEnd) : connection;
		if (tooMany !== undefined) {
			tooMany.disconnect();
			this.#options.onTooMany();
		}
	}

	#createConnection(socket: Socket): CallerConnection {
		const {server, clock, metrics, callerMemory, identify, isLeaving, onArrived, onStart, onIgnored} = this.#options;
		const connection: CallerConnection = new CallerConnection({
			socket,
			memory: new RequestMemory(callerMemory),
			writtenTotal: this.#writtenTotal,
			gracefulClose: {lingerMs: () => server.keepAliveTimeout, isLeaving, isEndingIdle: () => this.#isEndingIdle},
			recordWritten: request => ({fields: {...identify(request), ...request.describeAnswer()}, writtenAtMs: clock.monotonicMs()}),
			onUndelivered: undelivered => {
				this.#undelivered(undelivered);
			},
			onOpened: request => {
				this.#bound.busy(connection);
				this.open.add(request);
				onArrived(request);
			},
			onStart,
			onIdle: () => {
				this.#bound.resting(connection);
				if (this.#closesIdle) {
					void this.#closeIdle();
				}
			},
			onSentAhead() {
				metrics.requestsSentAhead.inc();
			},
			onIgnored(request, isFirst) {
				metrics.requestsBehindClose.inc();
				onIgnored(request, isFirst);
			},
		});
		return connection;
	}

	/** Closes the connections that the server takes for idle, once what has arrived on them is read. */
	async #closeIdle(): Promise<void> {
		await waitTurns(turnsToRead);
		this.#isEndingIdle = true;
		this.#options.server.closeIdleConnections();
		this.#isEndingIdle = false;
	}

	#receive(request: IncomingMessage, response: ServerResponse): void {
		this.#receivedRequests += 1;
		this.#new.used(request.socket);
		const connection = this.#connections.get(request.socket)!;
		const open = new OpenRequest(request, response, this.#options.clock.monotonicMs());
		this.#owners.set(open, connection);
		connection.receive(open);
	}

	#undelivered(undelivered: Undelivered): void {
		const {isLeaving, metrics, onUndelivered} = this.#options;
		if (isLeaving()) {
			metrics.undeliveredAnswers.inc({reason: undelivered.reason}, undelivered.answers.length);
			onUndelivered(undelivered);
		}
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
