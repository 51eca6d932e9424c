/** Harness that runs one call against fake upstreams, whose answers and clock the spec controls. */
import {Buffer} from 'node:buffer';
import {mock} from 'node:test';
import {
	ManualClock, type Clock, type ServiceId, type UpstreamId,
} from '@cairnbank/core';
import {AnswerMemory} from '@cairnbank/core/connections';
import {FullResets, OverloadControl} from '@cairnbank/core/overload';
import {createRandomSource} from '@cairnbank/core/random';
import {
	Admission, UpstreamCondition, WorkEstimates, type LoadReport,
} from '@cairnbank/core/placement';
import {WindowBudget} from '@cairnbank/core/window-budget';
import {err, ok, type Result} from 'neverthrow';
import type {AnswerReading} from '../../kernel/answer-reading.js';
import {waitTurns} from '../../kernel/arrivals.js';
import {StopDeadline} from '../../kernel/stop-deadline.js';
import {createMetrics} from '../../metrics/metrics.js';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import type {ExchangeFailure, OutgoingRequest} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import {answerOf} from '../upstreams/upstream-answer-fixture.js';
import type {Placement} from '../upstreams/placement.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import type {Authenticator} from './authenticator.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {CallRun} from './call-run.js';
import type {NoUpstream, Outcome} from './outcome.js';

type Exchange = {
	readonly upstream: string;
	readonly request: OutgoingRequest;
	readonly settle: (result: Result<UpstreamAnswer, ExchangeFailure>) => void;
	/** Ends the exchange with a fault of the program. */
	readonly fail: (fault: Error) => void;
};

/** Turns in which a time limit reads what has arrived, and one more. */
const turnsToRead = 4;
const answered = (status: number, ...headers: string[]) => ok(answerOf(status, headers, Buffer.from('body')));
export const success = answered(200, 'signature', 's');
export const failure = answered(500, 'signature', 's');
export const refusal = answered(503, 'not-run', '1');
export const broken = err({type: 'broken', message: 'reset'} as const);
export const cancelled = err({type: 'cancelled'} as const);
export const notConnected = err({type: 'not-connected', message: 'refused', isTimeout: false} as const);

const outdatedReportMs = 1000;
const share = {type: 'held', instances: 1} as const;
const neverSettles = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

export type CallHarnessOptions = {
	readonly idempotent: boolean;
	readonly maximumAttempts?: number;
	readonly slack?: number;
	readonly upstreams?: number;
	/** True, which is the default, if connections to upstreams are open from the start. */
	readonly isConnected?: boolean;
	/** Reason reported when no upstream is left. */
	readonly noUpstream?: NoUpstream;
};

export class CallHarness {
	readonly clock = new ManualClock();
	readonly exchanges: Exchange[] = [];
	readonly cancelled: string[] = [];
	/** Conditions of the placed upstreams, in the order of the exchanges. */
	readonly conditions: UpstreamCondition[] = [];
	readonly fullResets = new FullResets(this.clock);
	outcome: Outcome | undefined;
	isLightlyLoaded = true;
	isLoadKnown = true;
	/** Time at which a health check that is running reports the load of upstreams; none is running if undefined. */
	loadKnownAtMs: number | undefined;
	/** True if that load is more than they can bear, and not a light one. */
	isFullOnceKnown = false;
	/** Load that upstreams have reported a while ago; undefined if they report none. */
	report: LoadReport | undefined;
	/** True if upstreams whose connections break have crashed. */
	hasCrashed = false;
	/** Fault of the program that placement raises; none if undefined. */
	placementFault: Error | undefined;
	/** Fault with which the call ended. */
	fault: unknown;
	/** True if placement never resolves. */
	isPlacementBlocked = false;
	expectedMs = 40;
	/** Retry delay with which the call is refused because upstreams crashed under it; not refused if undefined. */
	refusedForMs: number | undefined;
	/** Outcome with which the call must not be sent any more, as its credentials have become invalid. */
	authenticationRefusal: ReturnType<Authenticator['recheck']>;
	readonly stop = new StopDeadline();
	readonly answerMemory = new AnswerMemory<AnswerReading>();
	readonly run: CallRun;
	readonly budget: WindowBudget;
	readonly #isConnected: boolean;
	#placements = 0;

	constructor(options: CallHarnessOptions) {
		const {
			idempotent, maximumAttempts = 2, slack = 50, upstreams = 9, isConnected = true, noUpstream = {reason: 'no-upstream'},
		} = options;
		this.#isConnected = isConnected;
		const call: Call = {
			requestId: 'r1',
			caller: '10.9.0.1',
			host: 'h',
			method: 'GET',
			target: '/',
			headers: ['Host', 'h'],
			body: undefined,
			account: undefined,
			accountKey: undefined,
			priority: 0,
			route: {
				id: 'route', pathPrefix: '/', idempotent, timeoutMs: 1000, targetLatencyMs: 100, priority: 0, maximumAttempts, services: [],
			},
			service: 'ledger' as ServiceId,
			configurationVersion: 1,
			receivedAtMs: 0,
			deadlineAtMs: 1000,
		};
		this.budget = new WindowBudget(() => ({ratio: 0, slack, windowMs: 10_000}));
		this.run = new CallRun({
			...fakeCallDependencies(this.clock),
			fullResets: this.fullResets,
			budget: () => this.budget,
			stop: this.stop,
			answerMemory: this.answerMemory,
			authenticator: {recheck: () => this.authenticationRefusal},
			poisonGuard: {admit: () => this.refusedForMs, recordAnswer: () => undefined},
			onConnectionBroken: async () => this.hasCrashed,
			pause: async durationMs => {
				this.clock.advance(durationMs);
			},
			explainNoUpstream: () => noUpstream,
			place: async ({excluded}) => this.isPlacementBlocked ? neverSettles : this.#place(excluded, upstreams),
		}, call);
	}

	/** Retries that the budget still grants. */
	get retriesLeft(): number {
		return this.budget.remaining(this.clock.monotonicMs(), share);
	}

	async start(): Promise<void> {
		void this.#recordEnd();
		await runPendingPromises();
	}

	async answer(index: number, result: Result<UpstreamAnswer, ExchangeFailure>): Promise<void> {
		this.exchanges[index]!.settle(result);
		await runPendingPromises();
	}

	/** Lets time pass, and turns of the event loop in which sockets are read. */
	async advance(durationMs: number): Promise<void> {
		this.passTime(durationMs);
		await waitTurns(turnsToRead);
		await runPendingPromises();
	}

	/** Lets time pass without a turn of the event loop. */
	passTime(durationMs: number): void {
		this.clock.advance(durationMs);
		mock.timers.tick(durationMs);
	}

	async #recordEnd(): Promise<void> {
		try {
			this.outcome = await this.run.run();
		} catch (error) {
			this.fault = error;
		}
	}

	#place(excluded: ReadonlySet<UpstreamId>, upstreams: number): Placement | undefined {
		if (this.placementFault !== undefined) {
			throw this.placementFault;
		}

		if (excluded.size >= upstreams) {
			return undefined;
		}

		const isLoadReported = this.loadKnownAtMs !== undefined && this.clock.monotonicMs() >= this.loadKnownAtMs;
		this.#placements += 1;
		const id = `u${this.#placements}` as UpstreamId;
		const connection = {
			isConnected: this.#isConnected,
			readBytes: 0,
			exchange: async (request: OutgoingRequest) => new Promise<Result<UpstreamAnswer, ExchangeFailure>>((resolve, reject) => {
				this.exchanges.push({
					upstream: id, request, settle: resolve, fail: reject,
				});
			}),
			cancel: () => {
				this.cancelled.push(id);
			},
		};
		const condition = new UpstreamCondition(this.clock);
		this.conditions.push(condition);
		const placement = idlePlacement(id, connection, condition);
		return {
			...placement,
			expectedMs: this.expectedMs,
			workMs: this.expectedMs,
			isLightlyLoaded: this.isLightlyLoaded || (isLoadReported && !this.isFullOnceKnown),
			isLoadKnown: this.isLoadKnown || isLoadReported,
			isLoadAwaited: this.loadKnownAtMs !== undefined && !isLoadReported,
			room: {...placement.room, report: this.report},
		};
	}
}

/** Returns dependencies with which every call is placed nowhere and nothing else is refused. */
export function fakeCallDependencies(clock: Clock): CallDependencies {
	const budget = new WindowBudget(() => ({ratio: 0, slack: 50, windowMs: 10_000}));
	return {
		clock,
		dialect: plainDialect,
		metrics: createMetrics(),
		workEstimates: new WorkEstimates(),
		overload: new OverloadControl({clock, random: createRandomSource(1), admission: new Admission(clock)}),
		fullResets: new FullResets(clock),
		advisories: {received: () => undefined},
		rateLimits: {answered: () => undefined},
		budget: () => budget,
		stop: new StopDeadline(),
		answerMemory: new AnswerMemory(),
		share: () => share,
		authenticator: {recheck: () => undefined},
		poisonGuard: {admit: () => undefined, recordAnswer: () => undefined},
		onConnectionBroken: async () => false,
		onAbandoned: () => undefined,
		onAbandonedAnswered: () => undefined,
		onLateFault: () => undefined,
		pause: async () => undefined,
		explainNoUpstream: () => ({reason: 'no-upstream'}),
		place: async () => neverSettles,
	};
}

/** Returns a place at an upstream that is idle. */
export function idlePlacement(id: UpstreamId, connection: Pick<UpstreamChannel, 'cancel' | 'exchange' | 'isConnected' | 'readBytes'>, condition: UpstreamCondition): Placement {
	return {
		upstream: {
			registered: {id, service: 'ledger' as ServiceId}, condition, pool: {take: () => connection, release: () => undefined},
		},
		expectedMs: 40,
		workMs: 40,
		slowness: 1,
		durationRatio: 1,
		isLightlyLoaded: true,
		isLoadKnown: true,
		isLoadAwaited: false,
		room: {
			report: undefined, reportAgeMs: outdatedReportMs, unreportedInFlight: 0, slots: 4,
		},
	} as unknown as Placement;
}

/** Runs the pending promise callbacks. */
export async function runPendingPromises(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}
