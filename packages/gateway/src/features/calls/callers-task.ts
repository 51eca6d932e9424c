/** Owns the port for callers: reads their requests, leads each to its outcome, and answers. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {HeaderFilter} from '@cairnbank/core/headers';
import type {RouteTable} from '@cairnbank/core/routes';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {CallRun} from './call-run.js';
import type {Outcome} from './outcome.js';
import type {PoisonGuard} from './poison-guard.js';
import {readBody, readCallHead} from './read-call.js';
import type {StartupGate} from './startup-gate.js';
import {writeOutcome} from './write-outcome.js';

/** Greatest header that is read at all; the configuration's own bound is checked on what was read. */
const readHeaderBytes = 65_536;
/** Request bodies are held whole, so that a refused one can be sent elsewhere. */
const heldBodyBytes = 8_388_608;
const firstServerErrorStatus = 500;

export type CallersTaskOptions = {
	readonly context: Context;
	readonly call: CallDependencies;
	readonly guard: PoisonGuard;
	readonly startupGate: StartupGate;
	readonly routes: () => RouteTable | undefined;
};

export class CallersTask implements Task {
	readonly name = 'callers';
	readonly #options: CallersTaskOptions;
	readonly #server: Server;
	readonly #requestHeaders: HeaderFilter;
	#isLeaving = false;
	readonly #running = new Set<CallRun>();
	#inFlight = 0;
	#uneventful = 0;
	#whenIdle: (() => void) | undefined;

	constructor(options: CallersTaskOptions) {
		this.#options = options;
		const {deadlineHeader, expectedUpstreamHeader} = options.call.dialect;
		this.#requestHeaders = new HeaderFilter([deadlineHeader, expectedUpstreamHeader]);
		this.#server = createServer({maxHeaderSize: readHeaderBytes, noDelay: true}, (request, response) => {
			void this.#handle(request, response);
		});
	}

	async start(): Promise<Result<void, StartError>> {
		return listen(this.#server, this.name, this.#options.context.settings.listen.callers);
	}

	/** A configuration is in force. */
	configured({configuration: {limits}}: RouteTable): void {
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
		this.#server.headersTimeout = limits.headerTimeoutMs;
	}

	leave(): void {
		this.#isLeaving = true;
	}

	async drain(): Promise<void> {
		this.#server.close();
		this.#server.closeIdleConnections();
		if (this.#inFlight > 0) {
			await new Promise<void>(resolve => {
				this.#whenIdle = resolve;
			});
		}
	}

	expire(): void {
		for (const run of this.#running) {
			run.expire();
		}
	}

	stop(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {context, call, routes} = this.#options;
		this.#inFlight += 1;
		context.metrics.inFlight.set(this.#inFlight);
		await this.#options.startupGate.ready();
		const head = readCallHead(request, {
			routes: routes(), dialect: call.dialect, requestHeaders: this.#requestHeaders, clock: context.clock, random: context.random,
		});
		if (head.isErr()) {
			request.resume();
			this.#answer(response, head.error, {id: request.headers[call.dialect.requestIdHeader], target: request.url});
		} else {
			await this.#lead(request, response, head.value);
		}

		await whenSent(response);
		this.#inFlight -= 1;
		context.metrics.inFlight.set(this.#inFlight);
		if (this.#inFlight === 0) {
			this.#whenIdle?.();
		}
	}

	async #lead(request: IncomingMessage, response: ServerResponse, head: Omit<Call, 'body'>): Promise<void> {
		const maximumBodyBytes = Math.min(heldBodyBytes, this.#options.routes()?.configuration.limits.maximumBodyBytes ?? heldBodyBytes);
		const body = await readBody(request, maximumBodyBytes);
		const fields = {
			id: head.requestId, route: head.route.id, configuration: head.configurationVersion, service: head.service,
		};
		if (body.isErr()) {
			this.#answer(response, body.error === 'too-large' ? {type: 'bad-request', reason: 'body-too-large'} : {type: 'abandoned'}, fields);
			return;
		}

		const call = {...head, body: body.value};
		const refusedForMs = this.#options.guard.refusedForMs(call);
		if (refusedForMs !== undefined) {
			this.#answer(response, {type: 'not-run', reason: 'suspected-poison', retryAfterMs: refusedForMs}, fields);
			return;
		}

		const run = new CallRun(this.#options.call, call);
		const abandon = () => {
			if (!response.writableFinished) {
				run.abandon();
			}
		};

		response.on('close', abandon);
		this.#running.add(run);
		const outcome = await run.run();
		this.#running.delete(run);
		if (outcome.type === 'answered') {
			this.#options.guard.endedWell(call);
		}

		const tookMs = this.#options.context.clock.monotonicMs() - head.receivedAtMs;
		this.#answer(response, outcome, {...fields, tookMs: Math.round(tookMs), decisions: run.decisions.join(' ')}, run.attemptsSent === 1);
		this.#options.context.metrics.requestSeconds.observe({outcome: outcome.type}, tookMs / 1000);
	}

	#answer(response: ServerResponse, outcome: Outcome, fields: Readonly<Record<string, unknown>>, isPlain = false): void {
		const {metrics, logger, settings} = this.#options.context;
		const reason = 'reason' in outcome ? outcome.reason : '';
		metrics.requests.inc({outcome: outcome.type, reason});
		const isUneventful = isPlain && outcome.type === 'answered' && outcome.answer.status < firstServerErrorStatus;
		const {sampleOneIn} = settings.logging;
		this.#uneventful += isUneventful ? 1 : 0;
		if (!isUneventful || (sampleOneIn > 0 && this.#uneventful % sampleOneIn === 0)) {
			const status = outcome.type === 'answered' ? outcome.answer.status : undefined;
			logger.info('request', {
				...fields, outcome: outcome.type, reason, status,
			});
		}

		writeOutcome(response, outcome, this.#isLeaving);
	}
}

/** Resolves once the answer has left this process, or its caller has gone. */
async function whenSent(response: ServerResponse): Promise<void> {
	if (response.writableFinished || response.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('close', resolve);
	});
}
