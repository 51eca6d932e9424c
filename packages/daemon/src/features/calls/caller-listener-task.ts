/** Owns the caller port: reads calls, hands them to the call pipeline and reports their outcomes to the callers. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Address} from '@cairnbank/core';
import {CallerMemory, connectionBytes} from '@cairnbank/core/connections';
import {
	memoryOf, readFirstInTurn, RequestMemory, type PortGuard,
} from '@cairnbank/core/runtime';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {createPortGuard} from '../../kernel/guard-port.js';
import {closeServer, listen, toAdvertisedAddress} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {abortResponse} from './abort-response.js';
import type {CallHandler} from './call-handler.js';
import {CallsInFlight} from './calls-in-flight.js';
import type {HeldAnswers} from './held-answers.js';
import {prepareConfiguration, type ConfigurationInForce} from './configuration-in-force.js';
import {toRefusalProblem, type Refusal} from './refusal-problem.js';
import {type Problem, writeProblem} from './problem.js';
import {OpenCall} from './open-call.js';
import {readCall, type CallReaderOptions} from './read-call.js';
import {refuseUnreadable} from './refuse-unreadable.js';
import {ResponseSink} from './response-sink.js';
import {UnansweredRequests} from './unanswered-requests.js';
import {writeOutcome} from './write-outcome.js';

/** Environment of the routes on the caller port. */
export type CallerEnvironment = {Bindings: HttpBindings};

/** Registers the routes of a feature on the caller port. */
export type CallerRoutes = (app: Hono<CallerEnvironment>) => void;

export type CallerListenerDependencies = {
	readonly handler: CallHandler;
	readonly heldAnswers: HeldAnswers;
	readonly routes: readonly CallerRoutes[];
};

/** Path prefix of the daemon's own routes on the caller port; no service can have this name. */
const ownRoutesPrefix = '/.well-known/';

/** Part of the memory for requests that their bodies may take. */
const bodyRatio = 0.75;

const stoppingRefusal: Refusal = {
	statusCode: 503, reason: 'stopping', detail: 'not run: this instance is stopping, ask for addresses again', retryAfterMs: 1000,
};

const unsupportedExpectationRefusal: Refusal = {
	statusCode: 417, reason: 'malformed-request', detail: 'no expectation is met but 100-continue',
};

const unknownRouteRefusal: Refusal = {
	statusCode: 404, reason: 'unknown-service', detail: 'the system has no such route of its own',
};

const busyRefusal: Refusal = {
	statusCode: 503, reason: 'instance-busy', detail: 'not run: this instance has too many calls under way', retryAfterMs: 1000,
};

const internalError: Problem = {
	statusCode: 502, outcome: 'unknown', reason: 'internal-error', detail: 'the request may have run: a fault of this instance ended the call',
};

export class CallerListenerTask implements Task {
	readonly name = 'callers';
	readonly #context: DaemonContext;
	readonly #handler: CallHandler;
	readonly #heldAnswers: HeldAnswers;
	readonly #readerOptions: CallReaderOptions;
	readonly #memory: CallerMemory;
	readonly #server: Server;
	readonly #callsInFlight: CallsInFlight;
	readonly #unansweredRequests = new UnansweredRequests();
	/** Calls whose response has not closed. */
	readonly #openCalls = new Set<OpenCall>();
	/** Connections whose newest request is being read. */
	readonly #reading = new WeakSet<Socket>();
	#configuration: ConfigurationInForce | undefined;
	#leaving = false;
	#refusing = false;
	#address: Address | undefined;

	constructor(context: DaemonContext, {handler, heldAnswers, routes}: CallerListenerDependencies) {
		this.#context = context;
		this.#handler = handler;
		this.#heldAnswers = heldAnswers;
		const {maximumBodyBytes, heldRequestsTotalBytes} = context.settings.calls;
		const bodyBytes = Math.max(heldRequestsTotalBytes * bodyRatio, maximumBodyBytes);
		this.#memory = new CallerMemory({
			clock: context.clock, maximumBytes: Math.max(heldRequestsTotalBytes, bodyBytes / bodyRatio), maximumBodyBytes: bodyBytes, answerBytes: () => 0,
		});
		this.#readerOptions = {
			clock: context.clock, tracing: context.tracing, maximumBodyBytes, memory: this.#memory,
		};
		this.#callsInFlight = new CallsInFlight(context.settings.calls.maximumInFlight);
		this.#server = this.#createServer(routes);
		context.bus.on('configuration-in-force', ({configuration}) => {
			this.#configuration = prepareConfiguration(configuration);
		});
	}

	/** Address at which callers reach this instance; undefined until the port is open. */
	get address(): Address | undefined {
		return this.#address;
	}

	get inFlight(): number {
		return this.#callsInFlight.count;
	}

	async start(): Promise<Result<void, StartError>> {
		const listening = await listen(this.#server, this.name, this.#context.settings.callers);
		return listening.map(({address, port}: AddressInfo) => {
			this.#address = toAdvertisedAddress(this.#context.settings.callers, port);
			this.#context.logger.info('listening', {listener: this.name, address, port});
		});
	}

	async leave(): Promise<void> {
		this.#leaving = true;
	}

	/** Refuses new calls and waits for those in flight. By now all address answers that list this instance have expired. */
	async drain(): Promise<void> {
		this.#refusing = true;
		await this.#callsInFlight.waitUntilIdle();
	}

	expire(): void {
		for (const open of this.#openCalls) {
			try {
				open.expire();
			} catch (error) {
				this.#context.logger.error('call not cancelled as the instance stops', {detail: String(error)});
			}
		}
	}

	async stop(): Promise<void> {
		await closeServer(this.#server, this.#context.settings.calls.readTimeoutMs);
	}

	#createServer(routes: readonly CallerRoutes[]): Server {
		const app = new Hono<CallerEnvironment>();
		for (const addRoutes of routes) {
			addRoutes(app);
		}

		app.notFound(context => {
			const {incoming, outgoing} = context.env;
			writeProblem(outgoing, toRefusalProblem(incoming, unknownRouteRefusal));
			return RESPONSE_ALREADY_SENT;
		});
		const serveOwnRoute = getRequestListener(app.fetch);
		const {
			maximumHeaderBytes, maximumConnections, keepAliveTimeoutMs, readTimeoutMs,
		} = this.#context.settings.calls;
		const server = createServer({
			maxHeaderSize: maximumHeaderBytes,
			keepAliveTimeout: keepAliveTimeoutMs,
			requestTimeout: readTimeoutMs,
		});
		// Calls bypass hono, because it answers HEAD through GET with a response of its own and creates a web request object for each call.
		const guard = createPortGuard(server, this.#context, {
			listener: this.name, maximumConnections, mayEnd: socket => guard.unansweredOf(socket) === 1 && this.#reading.has(socket),
		});
		server.on('connection', socket => {
			this.#reserveConnection(socket);
		});
		server.on('request', (request, response) => {
			// Nothing that arrives behind the end of the connection may run, as its answer can't be written.
			if (request.socket.writableEnded || !this.#hasMemoryFor(request, response, guard) || !this.#unansweredRequests.tryBegin(response)) {
				request.resume();
				return;
			}

			guard.received(request.socket, response);

			if (this.#leaving) {
				response.shouldKeepAlive = false;
			}

			void (request.url!.startsWith(ownRoutesPrefix) ? serveOwnRoute(request, response) : this.#serveContained(request, response));
		});
		server.on('checkExpectation', (request, response) => {
			writeProblem(response, toRefusalProblem(request, unsupportedExpectationRefusal));
		});
		server.on('connect', (_request, socket: Socket) => {
			this.#refuseUnreadable(socket);
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#refuseUnreadable(socket, error.code);
		});
		return server;
	}

	#reserveConnection(socket: Socket): void {
		readFirstInTurn(socket);
		if (!this.#memory.reserveHead(connectionBytes)) {
			socket.destroy();
			return;
		}

		socket.once('close', () => {
			this.#memory.releaseHead(connectionBytes);
		});
	}

	/**
	 * Reserves memory for a request until it is answered. If there is none, one without others before it is refused as busy; behind others,
	 * whose answers would hold it, the connection closes without it.
	 */
	#hasMemoryFor(request: IncomingMessage, response: ServerResponse, guard: PortGuard): boolean {
		const {socket} = request;
		const waits = guard.unansweredOf(socket) > 0;
		const release = new RequestMemory(this.#memory).reserve(memoryOf(request), waits);
		if (release !== undefined) {
			response.once('close', release);
			return true;
		}

		if (!waits) {
			writeProblem(response, toRefusalProblem(request, busyRefusal));
		} else if (this.#unansweredRequests.closeAfterAnswers(socket)) {
			guard.closeBehind(socket);
		} else {
			socket.destroy();
		}

		return false;
	}

	/** Refuses bytes that are no request, unless the caller would take the refusal for the answer to an earlier one. */
	#refuseUnreadable(socket: Socket, errorCode?: string): void {
		if (!this.#unansweredRequests.closeAfterAnswers(socket)) {
			refuseUnreadable(socket, errorCode);
		}
	}

	/** Keeps a fault in one call from ending the process, and with it all other calls. */
	async #serveContained(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await this.#serveCall(request, response);
		} catch (error) {
			this.#context.logger.error('unexpected fault', {stack: error instanceof Error ? error.stack : String(error)});
			if (response.headersSent) {
				abortResponse(response);
			} else {
				writeProblem(response, internalError);
			}
		}
	}

	async #serveCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#refusing) {
			writeProblem(response, toRefusalProblem(request, stoppingRefusal));
			return;
		}

		if (!this.#callsInFlight.tryBegin()) {
			writeProblem(response, toRefusalProblem(request, busyRefusal));
			return;
		}

		const open = new OpenCall();
		this.#openCalls.add(open);
		let heldBytes = 0;
		response.once('close', () => {
			this.#callsInFlight.end();
			this.#heldAnswers.remove(heldBytes);
			this.#openCalls.delete(open);
			open.cancellation.cancel('caller-gone');
		});
		this.#reading.add(request.socket);
		const call = await open.untilRead(readCall({
			request,
			configuration: this.#configuration,
			cancellation: open.cancellation,
			sink: new ResponseSink(response),
			onHeld(release) {
				response.once('close', release);
			},
		}, this.#readerOptions));
		this.#reading.delete(request.socket);
		if (call === 'expired') {
			writeProblem(response, toRefusalProblem(request, stoppingRefusal));
			return;
		}

		if (call.isErr()) {
			response.shouldKeepAlive &&= request.complete;
			writeProblem(response, toRefusalProblem(request, call.error));
			return;
		}

		const outcome = await open.untilRun(this.#handler(call.value));
		if (outcome.type === 'answered' && !response.destroyed) {
			// An answer that a slow caller has not fully received yet still occupies memory.
			heldBytes = outcome.answer.body.length;
			this.#heldAnswers.add(heldBytes);
		}

		writeOutcome(response, outcome);
		call.value.trace.end(outcome.type);
	}
}
