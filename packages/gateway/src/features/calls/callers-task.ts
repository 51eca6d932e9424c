/** Serves the port for callers: owns its server and connections, and all requests until each has its answer. */
import {createServer, type Server} from 'node:http';
import type {RequestState} from '@cairnbank/core/connections';
import type {RouteTable} from '@cairnbank/core/routes';
import type {Result} from 'neverthrow';
import {connectionLimit} from '../../kernel/connection-limit.js';
import {listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {recordUnexpectedFault} from '../../kernel/unexpected-fault.js';
import type {LogFields} from '../../logging/create-logger.js';
import {CallerConnections} from './caller-connections.js';
import type {OpenRequest} from './open-request.js';
import {RequestHandler, type RequestHandlerOptions} from './request-handler.js';

/** Largest header that the HTTP parser accepts; the configured limit is checked on the parsed header. */
const maximumParsedHeaderBytes = 65_536;

export type CallersTaskOptions = RequestHandlerOptions;

export class CallersTask implements Task {
	readonly name = 'callers';
	readonly #options: CallersTaskOptions;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #handler: RequestHandler;
	#isLeaving = false;
	#isStopped = false;

	constructor(options: CallersTaskOptions) {
		const {context} = options;
		this.#options = options;
		// A response of the server itself to a request without a host would close the connection before others are answered.
		this.#server = createServer({maxHeaderSize: maximumParsedHeaderBytes, noDelay: true, requireHostHeader: false});
		this.#connections = new CallerConnections({
			server: this.#server,
			clock: context.clock,
			metrics: context.metrics,
			answerMemory: context.answerMemory,
			callerMemory: context.callerMemory,
			...connectionLimit(context, 'callers', context.machineLimits.callerConnections),
			isLeaving: () => this.#isLeaving,
			onArrived: request => {
				this.#handler.receive(request);
			},
			onStart: request => {
				void this.#handler.handle(request);
			},
			onIgnored: (request, isFirst) => {
				// A caller may send thousands; the first one of a connection shows the cause.
				context.logger[isFirst ? 'info' : 'debug']('request not started, as its connection closes', this.#describe(request));
			},
			identify: request => this.#handler.identify(request),
			onUndelivered({answers, reason, heldBytes}) {
				for (const {fields, writtenAtMs} of answers) {
					context.logger.warn('answer not known to be delivered as the instance stops', {
						...fields, reason, heldBytes, writtenMsAgo: Math.round(context.clock.monotonicMs() - writtenAtMs),
					});
				}
			},
			onWriteFault(error) {
				recordUnexpectedFault(context, 'answer', error);
			},
		});
		this.#handler = new RequestHandler(options, this.#connections);
	}

	async start(): Promise<Result<void, StartError>> {
		return listen(this.#server, this.name, this.#options.context.settings.listen.callers);
	}

	/** Applies the limits of a configuration that has come into force. */
	applyConfiguration({configuration: {limits}}: RouteTable): void {
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
		this.#server.headersTimeout = limits.headerTimeoutMs;
	}

	/** Returns the number of requests in each state. */
	countOpenRequests(): ReadonlyMap<RequestState, number> {
		return this.#connections.open.countByState();
	}

	leave(): void {
		this.#isLeaving = true;
	}

	async drain(): Promise<void> {
		if (this.#server.listening) {
			await this.#connections.closeListener(() => this.#isStopped);
		}

		await this.#connections.untilArrivalsAreRead(() => this.#isStopped);
		await this.#connections.untilClosed();
	}

	isBusy(): boolean {
		return this.#connections.isBusy;
	}

	expire(): void {
		const {logger} = this.#options.context;
		logger.info('grace period over', {openRequests: Object.fromEntries(this.countOpenRequests())});
		this.#handler.refuseAll();
		this.#connections.endLingering();
		this.#connections.startAtOnce();
		for (const open of this.#connections.open) {
			this.#handler.finish(open);
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#logOpenRequests();
		this.#connections.stop();
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Describes a request in the log by its state. */
	#describe(open: OpenRequest): LogFields {
		return {...this.#handler.identify(open), ...open.describe(this.#options.context.clock.monotonicMs())};
	}

	#logOpenRequests(): void {
		const {logger} = this.#options.context;
		for (const open of this.#connections.open) {
			logger.warn('request without a complete answer as the instance stops', this.#describe(open));
		}
	}
}
