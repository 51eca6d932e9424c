/** Serves the port for callers: reads requests, runs each as a call and writes its outcome. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {RequestState} from '@cairnbank/core/connections';
import {HeaderFilter} from '@cairnbank/core/headers';
import type {RouteTable} from '@cairnbank/core/routes';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {recordUnexpectedFault} from '../../kernel/unexpected-fault.js';
import type {LogFields} from '../../logging/create-logger.js';
import type {AccountLimitsTask, CallAdmittance} from '../account-limits/account-limits-task.js';
import {leavingRetryAfterMs} from './attempt-gate.js';
import type {Authenticator} from './authenticator.js';
import {BodyReader, type UnreadBodyReason} from './body-reader.js';
import {CallerConnections} from './caller-connections.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {CallRun} from './call-run.js';
import type {OpenRequest} from './open-request.js';
import type {Outcome} from './outcome.js';
import type {PoisonGuard} from './poison-guard.js';
import {readCallHead} from './read-call.js';
import type {StartupGate} from './startup-gate.js';

/** Largest header that the HTTP parser accepts; the configured limit is checked on the parsed header. */
const maximumParsedHeaderBytes = 65_536;
/** Time in which several long bodies are sent to their upstreams. */
const bodiesHeldRetryAfterMs = 200;
const firstServerErrorStatus = 500;

const outcomesOfUnreadBodies: Readonly<Record<UnreadBodyReason, Outcome>> = {
	'too-large': {type: 'bad-request', reason: 'body-too-large'},
	'no-room': {type: 'not-run', reason: 'bodies-held', retryAfterMs: bodiesHeldRetryAfterMs},
	'broken-off': {type: 'abandoned'},
};

export type CallersTaskOptions = {
	readonly context: Context;
	readonly callDependencies: CallDependencies;
	readonly poisonGuard: PoisonGuard;
	readonly authenticator: Authenticator;
	readonly accountLimits: Pick<AccountLimitsTask, 'admit' | 'complete'>;
	readonly startupGate: StartupGate;
	readonly routes: () => RouteTable | undefined;
};

export class CallersTask implements Task {
	readonly name = 'callers';
	readonly #options: CallersTaskOptions;
	readonly #server: Server;
	readonly #connections: CallerConnections;
	readonly #bodies: BodyReader;
	readonly #requestHeaders: HeaderFilter;
	/** The same where accounts are configured. */
	readonly #accountRequestHeaders: HeaderFilter;
	#isLeaving = false;
	#isExpired = false;
	readonly #runningCalls = new Set<CallRun>();
	#inFlight = 0;
	#uneventfulRequests = 0;
	#onIdle: (() => void) | undefined;

	constructor(options: CallersTaskOptions) {
		this.#options = options;
		this.#bodies = new BodyReader(options.context.metrics);
		const {deadlineHeader, expectedUpstreamHeader, credentialsHeader, accountHeader} = options.callDependencies.dialect;
		this.#requestHeaders = new HeaderFilter([deadlineHeader, expectedUpstreamHeader]);
		this.#accountRequestHeaders = new HeaderFilter([deadlineHeader, expectedUpstreamHeader, credentialsHeader, accountHeader, withUnderscores(accountHeader)]);
		// A response of the server itself to a request without a host would close the connection before others are answered.
		this.#server = createServer({maxHeaderSize: maximumParsedHeaderBytes, noDelay: true, requireHostHeader: false});
		this.#connections = new CallerConnections({
			server: this.#server,
			clock: options.context.clock,
			metrics: options.context.metrics,
			answerMemory: options.context.answerMemory,
			isLeaving: () => this.#isLeaving,
			onStart: request => {
				void this.#handle(request);
			},
			onIgnored: (request, isFirst) => {
				// A caller may send thousands; the first one of a connection shows the cause.
				options.context.logger[isFirst ? 'info' : 'debug']('request not started, as its connection closes', this.#describe(request));
			},
			onWriteFault(error) {
				recordUnexpectedFault(options.context, 'answer', error);
			},
		});
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
		this.#server.close();
		this.#server.closeIdleConnections();
		if (this.#inFlight > 0) {
			await new Promise<void>(resolve => {
				this.#onIdle = resolve;
			});
		}
	}

	expire(): void {
		const {logger} = this.#options.context;
		logger.info('grace period over', {openRequests: Object.fromEntries(this.#connections.open.countByState())});
		this.#isExpired = true;
		this.#connections.stopStarting();
		for (const run of this.#runningCalls) {
			run.expire();
		}
	}

	stop(): void {
		this.#logOpenRequests();
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	async #handle(open: OpenRequest): Promise<void> {
		const {metrics} = this.#options.context;
		this.#inFlight += 1;
		metrics.inFlight.set(this.#inFlight);
		try {
			await this.#answer(open);
		} catch (error) {
			const fields = this.#identify(open);
			recordUnexpectedFault(this.#options.context, 'call', error, fields);
			open.request.resume();
			this.#respond(open, {type: 'unknown', reason: 'internal-error'}, fields);
		}

		await untilClosed(open.response);
		this.#inFlight -= 1;
		metrics.inFlight.set(this.#inFlight);
		if (this.#inFlight === 0) {
			this.#onIdle?.();
		}
	}

	async #answer(open: OpenRequest): Promise<void> {
		const {context, callDependencies, authenticator} = this.#options;
		open.state = 'starting';
		await this.#options.startupGate.waitUntilReady();
		const routes = this.#options.routes();
		const head = readCallHead(open.request, {
			routes,
			dialect: callDependencies.dialect,
			requestHeaders: routes?.accounts === undefined ? this.#requestHeaders : this.#accountRequestHeaders,
			authenticator,
			receivedAtMs: open.receivedAtMs,
			random: context.random,
		});
		if (head.isErr()) {
			open.request.resume();
			this.#respond(open, head.error, this.#identify(open));
		} else {
			await this.#processCall(open, head.value, routes?.configuration.limits.maximumBodyBytes ?? 0);
		}
	}

	async #processCall(open: OpenRequest, head: Omit<Call, 'body'>, maximumBodyBytes: number): Promise<void> {
		const fields = {
			id: head.requestId, route: head.route.id, account: head.account?.id, configuration: head.configurationVersion, service: head.service,
		};
		open.state = 'reading-body';
		const body = await this.#bodies.read(open.request, maximumBodyBytes);
		if (body.isErr()) {
			this.#respond(open, outcomesOfUnreadBodies[body.error], fields);
			return;
		}

		try {
			await this.#admitCall(open, {...head, body: body.value.bytes}, fields);
		} finally {
			body.value.release();
		}
	}

	async #admitCall(open: OpenRequest, call: Call, fields: Record<string, unknown>): Promise<void> {
		const refusal = this.#refusalWhileLeaving(call) ?? this.#connections.refusal();
		if (refusal !== undefined) {
			this.#respond(open, refusal, fields);
			return;
		}

		const refusalRetryAfterMs = this.#options.poisonGuard.refusalRetryAfterMs(call);
		if (refusalRetryAfterMs !== undefined) {
			this.#respond(open, {type: 'not-run', reason: 'suspected-poison', retryAfterMs: refusalRetryAfterMs}, fields);
			return;
		}

		open.state = 'admission';
		const askedAtMs = this.#options.context.clock.monotonicMs();
		const admittance = await this.#options.accountLimits.admit(call);
		if (admittance.type !== 'unlimited') {
			fields.accountLimit = `${admittance.type}:${Math.round(this.#options.context.clock.monotonicMs() - askedAtMs)}ms`;
		}

		if (admittance.type === 'refused') {
			this.#respond(open, admittance.outcome, fields);
			return;
		}

		const {response} = open;
		if (response.destroyed || this.#isExpired) {
			// The caller disconnected, or the time to drain ended, while the account was asked for, so no event follows that would end the call.
			const outcome: Outcome = {type: 'not-run', reason: 'never-sent', retryAfterMs: leavingRetryAfterMs};
			this.#options.accountLimits.complete(admittance, outcome, false);
			this.#respond(open, response.destroyed ? {type: 'abandoned'} : outcome, fields);
			return;
		}

		const run = new CallRun(this.#options.callDependencies, call);
		const abandon = () => {
			if (!response.writableFinished) {
				run.abandon();
			}
		};

		open.state = 'running';
		response.on('close', abandon);
		const outcome = await this.#run(run, admittance);
		const tookMs = this.#options.context.clock.monotonicMs() - call.receivedAtMs;
		this.#respond(open, outcome, {...fields, tookMs: Math.round(tookMs), decisions: run.decisions.join(' ')}, run.attemptsSent === 1);
		this.#options.context.metrics.requestSeconds.observe({outcome: outcome.type}, tookMs / 1000);
	}

	/**
	 * Refuses a request that the stop of this instance could cut. Its body has been read by then: a connection that closes with unread
	 * bytes is reset, and the caller would not learn of the refusal.
	 */
	#refusalWhileLeaving({deadlineAtMs}: Call): Outcome | undefined {
		return this.#options.context.stop.allows(deadlineAtMs) ? undefined : {type: 'not-run', reason: 'leaving', retryAfterMs: leavingRetryAfterMs};
	}

	/** Runs an admitted call; its account gets back what the call did not use, also if a fault ends it. */
	async #run(run: CallRun, admittance: Exclude<CallAdmittance, {readonly type: 'refused'}>): Promise<Outcome> {
		let outcome: Outcome = {type: 'unknown', reason: 'internal-error'};
		this.#runningCalls.add(run);
		try {
			outcome = await run.run();
		} finally {
			this.#runningCalls.delete(run);
			this.#options.accountLimits.complete(admittance, outcome, run.attemptsSent > 0);
		}

		return outcome;
	}

	#respond(open: OpenRequest, outcome: Outcome, fields: Readonly<Record<string, unknown>>, hasSingleAttempt = false): void {
		const {metrics, logger, settings} = this.#options.context;
		const reason = 'reason' in outcome ? outcome.reason : '';
		metrics.requests.inc({outcome: outcome.type, reason});
		const isServed = hasSingleAttempt && outcome.type === 'answered' && outcome.answer.status < firstServerErrorStatus;
		// An account that is limited has a line of its own where that begins and ends.
		const isUneventful = isServed || outcome.type === 'limited';
		const {sampleOneIn} = settings.logging;
		this.#uneventfulRequests += isUneventful ? 1 : 0;
		if (!isUneventful || (sampleOneIn > 0 && this.#uneventfulRequests % sampleOneIn === 0)) {
			const status = outcome.type === 'answered' ? outcome.answer.status : undefined;
			logger.info('request', {
				...fields, outcome: outcome.type, reason, status,
			});
		}

		this.#connections.respond(open, outcome);
	}

	#identify({request}: OpenRequest): LogFields {
		return {id: request.headers[this.#options.callDependencies.dialect.requestIdHeader], target: request.url};
	}

	/** Describes a request in the log by its state. */
	#describe(open: OpenRequest): LogFields {
		return {...this.#identify(open), ...open.describe(this.#options.context.clock.monotonicMs())};
	}

	#logOpenRequests(): void {
		const {logger} = this.#options.context;
		for (const open of this.#connections.open) {
			logger.warn('request without a complete answer as the instance stops', this.#describe(open));
		}
	}
}

/** Returns a header name as servers may read it that take hyphens and underscores for the same character. */
function withUnderscores(name: string): string {
	return name.replaceAll('-', '_');
}

/** Resolves once the response has been written to the socket, or the caller has disconnected. */
async function untilClosed(response: ServerResponse): Promise<void> {
	if (response.writableFinished || response.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('close', resolve);
	});
}
