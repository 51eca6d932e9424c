/** Owns the caller port: reads calls, hands them to the stages, tells callers the outcome. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Address} from '@cairnbank/core';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {closeServer, listen, reachableAddress} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {CallHandler} from './call-handler.js';
import {CallsInFlight} from './calls-in-flight.js';
import {Cancellation} from './cancellation.js';
import type {HeldAnswers} from './held-answers.js';
import {prepareConfiguration, type ConfigurationInForce} from './configuration-in-force.js';
import {problemBeforeTable, type Refusal} from './problem-before-table.js';
import {writeProblem} from './problem.js';
import {readCall, type CallReaderOptions} from './read-call.js';
import {refuseUnreadable} from './refuse-unreadable.js';
import {ResponseSink} from './response-sink.js';
import {UnansweredRequests} from './unanswered-requests.js';
import {writeOutcome} from './write-outcome.js';

/** What the routes of the caller port are given. */
export type CallerEnvironment = {Bindings: HttpBindings};

/** Adds the routes of a feature to the caller port. */
export type CallerRoutes = (app: Hono<CallerEnvironment>) => void;

export type CallerListenerParts = {
	readonly handler: CallHandler;
	readonly heldAnswers: HeldAnswers;
	readonly routes: readonly CallerRoutes[];
};

/** The system's own routes on the caller port; a service cannot have this name. */
const ownRoutesPrefix = '/.well-known/';

const stoppingProblem: Refusal = {
	statusCode: 503, reason: 'stopping', detail: 'not run: this instance is stopping, ask for addresses again', retryAfterMs: 1000,
};

const unmetExpectation: Refusal = {
	statusCode: 417, reason: 'malformed-request', detail: 'no expectation is met but 100-continue',
};

const unknownRoute: Refusal = {
	statusCode: 404, reason: 'unknown-service', detail: 'the system has no such route of its own',
};

const busyProblem: Refusal = {
	statusCode: 503, reason: 'instance-busy', detail: 'not run: this instance has too many calls under way', retryAfterMs: 1000,
};

export class CallerListenerTask implements Task {
	readonly name = 'callers';
	readonly #context: DaemonContext;
	readonly #handler: CallHandler;
	readonly #heldAnswers: HeldAnswers;
	readonly #readerOptions: CallReaderOptions;
	readonly #server: Server;
	readonly #inFlight: CallsInFlight;
	readonly #unanswered = new UnansweredRequests();
	#configuration: ConfigurationInForce | undefined;
	#leaving = false;
	#refusing = false;
	#address: Address | undefined;

	constructor(context: DaemonContext, {handler, heldAnswers, routes}: CallerListenerParts) {
		this.#context = context;
		this.#handler = handler;
		this.#heldAnswers = heldAnswers;
		this.#readerOptions = {clock: context.clock, tracing: context.tracing, maximumBodyBytes: context.settings.calls.maximumBodyBytes};
		this.#inFlight = new CallsInFlight(context.settings.calls.maximumInFlight);
		this.#server = this.#createServer(routes);
		context.bus.on('configuration-in-force', ({configuration}) => {
			this.#configuration = prepareConfiguration(configuration);
		});
	}

	/** Where callers reach this instance; undefined until the port is open. */
	get address(): Address | undefined {
		return this.#address;
	}

	get inFlight(): number {
		return this.#inFlight.count;
	}

	async start(): Promise<Result<void, StartError>> {
		const listening = await listen(this.#server, this.name, this.#context.settings.callers);
		return listening.map(({address, port}: AddressInfo) => {
			this.#address = reachableAddress(this.#context.settings.callers, port);
			this.#context.logger.info('listening', {listener: this.name, address, port});
		});
	}

	async leave(): Promise<void> {
		this.#leaving = true;
	}

	/** No address answer that names this instance holds any longer: refuses new calls and awaits those in flight. */
	async drain(): Promise<void> {
		this.#refusing = true;
		await this.#inFlight.idle();
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
			writeProblem(outgoing, problemBeforeTable(incoming, unknownRoute));
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
		// Calls bypass hono: it answers HEAD through GET with a response of its own, and costs each call a web request.
		server.on('request', (request, response) => {
			if (this.#leaving) {
				response.setHeader('connection', 'close');
			}

			void (request.url!.startsWith(ownRoutesPrefix) ? serveOwnRoute(request, response) : this.#serve(request, response));
		});
		server.maxConnections = maximumConnections;
		server.on('checkExpectation', (request, response) => {
			writeProblem(response, problemBeforeTable(request, unmetExpectation));
		});
		server.on('connect', (_request, socket: Socket) => {
			refuseUnreadable(socket, this.#unanswered.mayRun(socket));
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			refuseUnreadable(socket, this.#unanswered.mayRun(socket), error.code);
		});
		return server;
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#refusing) {
			writeProblem(response, problemBeforeTable(request, stoppingProblem));
			return;
		}

		if (!this.#inFlight.tryBegin()) {
			writeProblem(response, problemBeforeTable(request, busyProblem));
			return;
		}

		this.#unanswered.begin(request);
		const cancellation = new Cancellation();
		let heldBytes = 0;
		response.once('close', () => {
			this.#inFlight.end();
			this.#unanswered.end(request);
			this.#heldAnswers.remove(heldBytes);
			cancellation.cancel();
		});
		const call = await readCall({
			request, configuration: this.#configuration, cancellation, sink: new ResponseSink(response),
		}, this.#readerOptions);
		if (call.isErr()) {
			response.setHeader('connection', 'close');
			writeProblem(response, problemBeforeTable(request, call.error));
			return;
		}

		const outcome = await this.#handler(call.value);
		if (outcome.type === 'answered' && !response.closed) {
			// An answer that a slow caller has yet to take counts as held.
			heldBytes = outcome.answer.body.length;
			this.#heldAnswers.add(heldBytes);
		}

		writeOutcome(response, outcome);
		call.value.trace.end(outcome.type);
	}
}
