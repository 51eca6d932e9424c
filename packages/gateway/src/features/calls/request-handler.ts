/** Leads a request of a caller through its states to its one outcome. */
import {Buffer} from 'node:buffer';
import type {ServiceId} from '@cairnbank/core';
import {finalStepOf, RunningRequests} from '@cairnbank/core/connections';
import type {RouteTable} from '@cairnbank/core/routes';
import type {Context} from '../../kernel/context.js';
import {recordUnexpectedFault} from '../../kernel/unexpected-fault.js';
import type {LogFields} from '../../logging/create-logger.js';
import type {AccountLimitsTask, CallAdmittance} from '../account-limits/account-limits-task.js';
import {leavingRetryAfterMs} from './attempt-gate.js';
import type {Authenticator} from './authenticator.js';
import {BodyReader, outcomesOfUnreadBodies} from './body-reader.js';
import type {CallerConnections} from './caller-connections.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {CallRun} from './call-run.js';
import type {OpenRequest} from './open-request.js';
import type {Outcome} from './outcome.js';
import type {PoisonGuard} from './poison-guard.js';
import {readCallHead} from './read-call.js';
import {RequestHeaders} from './request-headers.js';
import {RequestLog} from './request-log.js';
import type {StartupGate} from './startup-gate.js';

/** There is no memory for the request. Requests that fill it end within their deadlines, most of them much sooner. */
const noMemoryOutcome: Outcome = {type: 'not-run', reason: 'requests-held', retryAfterMs: 200};

/** Other requests take all descriptors that are meant for upstreams. */
const tooManyOutcome: Outcome = {type: 'not-run', reason: 'too-many-requests', retryAfterMs: 200};

/** The instance stops, and the request was never sent. */
const leavingOutcome: Outcome = {type: 'not-run', reason: 'leaving', retryAfterMs: leavingRetryAfterMs};

export type RequestHandlerOptions = {
	readonly context: Context;
	readonly callDependencies: CallDependencies;
	readonly poisonGuard: Pick<PoisonGuard, 'refusalRetryAfterMs'>;
	readonly authenticator: Pick<Authenticator, 'authenticate'>;
	readonly accountLimits: Pick<AccountLimitsTask, 'admit' | 'complete'>;
	readonly startupGate: Pick<StartupGate, 'waitUntilReady'>;
	readonly routes: () => RouteTable | undefined;
};

/** Longest text of a request in a line of the log that names it. Lines may be kept until the caller has its answer, and a target may have 64 KB. */
const maximumNameCharacters = 256;

type Admitted = Exclude<CallAdmittance, {readonly type: 'refused'}>;

export class RequestHandler {
	readonly #options: RequestHandlerOptions;
	readonly #connections: Pick<CallerConnections, 'refusal' | 'respond'>;
	readonly #bodies: BodyReader;
	readonly #requestHeaders: RequestHeaders;
	readonly #log: RequestLog;
	readonly #running: RunningRequests<ServiceId>;
	#isExpired = false;

	constructor(options: RequestHandlerOptions, connections: Pick<CallerConnections, 'refusal' | 'respond'>) {
		this.#options = options;
		this.#connections = connections;
		this.#bodies = new BodyReader({memory: options.context.callerMemory, metrics: options.context.metrics});
		this.#running = new RunningRequests(options.context.machineLimits.runningRequests);
		this.#log = new RequestLog(options.context);
		this.#requestHeaders = new RequestHeaders(options.callDependencies.dialect);
	}

	/**
	 * Begins to read the body of a request that has arrived, though it may wait behind others: what the stream itself keeps of a body that is
	 * not read has no bound in its memory.
	 */
	receive(open: OpenRequest): void {
		const maximumBytes = this.#options.routes()?.configuration.limits.maximumBodyBytes ?? Number.POSITIVE_INFINITY;
		const body = this.#bodies.begin(open.request, maximumBytes);
		open.body = body;
		open.response.once('close', () => {
			body.discard();
		});
	}

	/** Starts a request. It ends with an answer, whatever happens on its way. */
	async handle(open: OpenRequest): Promise<void> {
		try {
			await this.#answer(open);
		} catch (error) {
			this.#endByFault(open, error);
		}
	}

	/** Refuses all requests that are started from now on, as the grace period is over. */
	refuseAll(): void {
		this.#isExpired = true;
	}

	/** Ends a request that the grace period leaves without an outcome, with the answer that is true of its state. */
	finish(open: OpenRequest): void {
		try {
			switch (finalStepOf(open.state)) {
				case 'refuse': {
					open.body?.discard();
					this.#respond(open, leavingOutcome, this.identify(open));
					break;
				}

				case 'end-run': {
					open.run?.expire();
					break;
				}

				case 'deliver': {
					break;
				}
			}
		} catch (error) {
			this.#endByFault(open, error);
		}
	}

	/** Returns the log fields that name a request. */
	identify({request}: OpenRequest): LogFields {
		return {id: shorten(request.headers[this.#options.callDependencies.dialect.requestIdHeader]), target: shorten(request.url)};
	}

	/** Ends a request that a fault of the program has left without an outcome. */
	#endByFault(open: OpenRequest, error: unknown): void {
		const fields = this.identify(open);
		try {
			recordUnexpectedFault(this.#options.context, 'call', error, fields);
			open.body?.discard();
			this.#respond(open, {type: 'unknown', reason: 'internal-error'}, fields);
		} catch {
			open.response.destroy();
		}
	}

	async #answer(open: OpenRequest): Promise<void> {
		const {context, callDependencies, authenticator} = this.#options;
		if (this.#isExpired || !open.hasMemory) {
			open.body?.discard();
			this.#respond(open, this.#isExpired ? leavingOutcome : noMemoryOutcome, this.identify(open));
			return;
		}

		open.state = 'starting';
		await this.#options.startupGate.waitUntilReady();
		if (open.hasOutcome) {
			return;
		}

		const routes = this.#options.routes();
		const head = readCallHead(open.request, {
			routes,
			dialect: callDependencies.dialect,
			requestHeaders: this.#requestHeaders.filterFor(routes),
			authenticator,
			receivedAtMs: open.receivedAtMs,
			random: context.random,
		});
		if (head.isErr()) {
			open.body?.discard();
			this.#respond(open, head.error, this.identify(open));
		} else {
			await this.#processCall(open, head.value, routes?.configuration.limits.maximumBodyBytes ?? 0);
		}
	}

	async #processCall(open: OpenRequest, head: Omit<Call, 'body'>, maximumBodyBytes: number): Promise<void> {
		const fields = {
			id: head.requestId, route: head.route.id, account: head.account?.id, configuration: head.configurationVersion, service: head.service,
		};
		open.state = 'reading-body';
		const body = await open.body!.wholeWithin(head.deadlineAtMs - this.#options.context.clock.monotonicMs());
		if (body.isErr()) {
			this.#respond(open, outcomesOfUnreadBodies[body.error], fields);
			return;
		}

		try {
			if ((body.value.body?.length ?? 0) > maximumBodyBytes) {
				// Another configuration was in force as the body began to arrive.
				this.#respond(open, outcomesOfUnreadBodies['too-large'], fields);
			} else if (!open.hasOutcome) {
				await this.#runCounted(open, {...head, body: body.value.body}, fields);
			}
		} finally {
			body.value.release();
		}
	}

	/** Runs a call unless too many run already. */
	async #runCounted(open: OpenRequest, call: Call, fields: Record<string, unknown>): Promise<void> {
		if (!this.#running.tryBegin(call.service)) {
			this.#respond(open, tooManyOutcome, fields);
			return;
		}

		try {
			await this.#admitCall(open, call, fields);
		} finally {
			this.#running.end(call.service);
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

		if (open.hasOutcome || open.response.destroyed) {
			// The caller disconnected, or the grace period ended, while the account was asked for, so no event follows that would end the call.
			this.#options.accountLimits.complete(admittance, leavingOutcome, false);
			this.#respond(open, {type: 'abandoned'}, fields);
			return;
		}

		await this.#runCall(open, call, admittance, fields);
	}

	async #runCall(open: OpenRequest, call: Call, admittance: Admitted, fields: LogFields): Promise<void> {
		const run = new CallRun(this.#options.callDependencies, call);
		const {response} = open;
		response.on('close', () => {
			if (!response.writableFinished) {
				open.run?.abandon();
			}
		});
		open.state = 'running';
		open.run = run;
		const outcome = await this.#run(run, admittance);
		open.run = undefined;
		const tookMs = this.#options.context.clock.monotonicMs() - call.receivedAtMs;
		this.#respond(open, outcome, {...fields, tookMs: Math.round(tookMs), decisions: run.decisions.join(' ')}, run.attemptsSent === 1);
		this.#options.context.metrics.requestSeconds.observe({outcome: outcome.type}, tookMs / 1000);
	}

	/**
	 * Refuses a request that the stop of this instance could cut. Its body has been read by then: a connection that closes with unread
	 * bytes is reset, and the caller would not learn of the refusal.
	 */
	#refusalWhileLeaving({deadlineAtMs}: Call): Outcome | undefined {
		return this.#options.context.stop.allows(deadlineAtMs) ? undefined : leavingOutcome;
	}

	/** Runs an admitted call; its account gets back what the call did not use, also if a fault ends it. */
	async #run(run: CallRun, admittance: Admitted): Promise<Outcome> {
		let outcome: Outcome = {type: 'unknown', reason: 'internal-error'};
		try {
			outcome = await run.run();
		} finally {
			this.#options.accountLimits.complete(admittance, outcome, run.attemptsSent > 0);
		}

		return outcome;
	}

	/** Gives a request its outcome; only the first one counts. */
	#respond(open: OpenRequest, outcome: Outcome, fields: LogFields, hasSingleAttempt = false): void {
		if (open.hasOutcome) {
			return;
		}

		open.hasOutcome = true;
		try {
			this.#connections.respond(open, outcome);
		} catch (error) {
			open.hasOutcome = false;
			throw error;
		}

		this.#log.record(outcome, fields, hasSingleAttempt);
	}
}

/** Copies the beginning of a text, as a part of one would keep the whole in memory. */
function shorten(text: string | readonly string[] | undefined): string | undefined {
	return typeof text === 'string' && text.length > maximumNameCharacters
		? `${Buffer.from(text.slice(0, maximumNameCharacters), 'latin1').toString('latin1')}…`
		: text?.toString();
}
