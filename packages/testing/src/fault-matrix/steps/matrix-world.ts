/** State of one scenario: covered cells, service, upstreams, and requests with the outcomes that their callers got. */
import {randomUUID} from 'node:crypto';
import {World, type IWorldOptions} from '@cucumber/cucumber';
import {headerNames} from '@cairnbank/protocol';
import type {Fault} from '../cells/faults.js';
import type {RequestStep} from '../cells/request-steps.js';
import type {Behaviour} from '../fixtures/behaviour.js';
import type {CallerRequest} from '../fixtures/caller-request.js';
import {expectedAnswer} from '../fixtures/expected-answer.js';
import type {Fleet, UpstreamEntry} from '../fixtures/fleet.js';
import {getFleet} from '../fixtures/fleets.js';
import type {Gate} from '../fixtures/gate.js';
import type {RequestKind} from '../fixtures/request-kind.js';
import {createRules, type RulesOptions} from '../fixtures/rules.js';
import {ScriptedUpstream} from '../fixtures/scripted-upstream.js';
import {sendRequest, type SendOptions} from '../fixtures/send-request.js';
import {StalledListener} from '../fixtures/stalled-listener.js';
import type {CallerOutcome} from '../fixtures/caller-outcome.js';
import {requestIdHeader} from '../../stand-ins/index.js';

export type WorldParameters = {
	readonly feature: string;
};

/** A cell of the matrix that the scenario covers. */
export type CoveredCell = {
	readonly fault: Fault;
	readonly secondFault?: Fault;
	readonly step: RequestStep;
};

const requestBytes = 300_000;
const defaultDeadlineMs = 10_000;
/** Deadline for a service whose upstream never accepts a connection, where only the deadline ends a request. */
const stalledDeadlineMs = 2000;
let serviceCount = 0;

export class MatrixWorld extends World<WorldParameters> {
	readonly coveredCells: CoveredCell[] = [];
	readonly requests: CallerRequest[] = [];
	readonly upstreams: ScriptedUpstream[] = [];
	/** Exchanges that one step starts and a later step completes. */
	readonly openExchanges: Array<Promise<CallerOutcome>> = [];
	/** Makes upstreams answer immediately once held requests resume, so that queued requests end too. */
	answersOnResume = false;
	/** Gate at which the caller waits while it sends or reads. */
	callerGate: Gate | undefined;
	/** Aborts the open exchanges on the caller's side. */
	callerAbort = new AbortController();
	/** Run at the end of the scenario, in reverse order. */
	readonly cleanUps: Array<() => Promise<void>> = [];
	readonly service: string;
	fleet!: Fleet;
	/** The instances of the scenario, by name. */
	instanceNames: readonly string[] = ['A'];
	/** When the request was held. The instance's deadline for it started earlier. */
	heldAtMs = 0;
	/** Deadline of new requests. */
	deadlineMs = defaultDeadlineMs;

	constructor(options: IWorldOptions<WorldParameters>) {
		super(options);
		serviceCount += 1;
		this.service = `service-${serviceCount}`;
	}

	get request(): CallerRequest {
		return this.requests.at(-1)!;
	}

	/** Number of requests that reached the upstreams, whether they ran or not. */
	get receivedCount(): number {
		return this.upstreams.reduce((sum, upstream) => sum + upstream.receivedCount, 0);
	}

	async attachFleet(): Promise<void> {
		this.fleet = await getFleet(this.parameters.feature);
	}

	async startInstances(names: readonly string[]): Promise<void> {
		this.instanceNames = names;
		for (const name of names) {
			await this.fleet.ensureInstance(name);
		}
	}

	/** Starts one upstream for each behaviour and publishes the service with them. */
	async startService(behaviours: readonly Behaviour[], options: Omit<RulesOptions, 'service'> = {}): Promise<void> {
		await this.startInstances(this.instanceNames);
		for (const [index, behaviour] of behaviours.entries()) {
			const upstream = await new ScriptedUpstream(`${this.service}-${index + 1}`).start();
			await upstream.setBehaviour(behaviour);
			this.upstreams.push(upstream);
		}

		await this.#publish(this.upstreams, options);
	}

	/** Starts sending the latest request without waiting for its outcome. */
	startSending(options: SendOptions): void {
		this.openExchanges.push(sendRequest(this.request, {signal: this.callerAbort.signal, ...options}));
	}

	/** Closes the caller's connections and waits until all open exchanges have ended. */
	async abortOpenExchanges(): Promise<void> {
		this.callerAbort.abort();
		await Promise.all(this.openExchanges);
		this.callerAbort = new AbortController();
	}

	/** Publishes the service with one upstream that never accepts a connection. */
	async startStalledService(): Promise<StalledListener> {
		await this.startInstances(this.instanceNames);
		this.deadlineMs = Math.min(this.deadlineMs, stalledDeadlineMs);
		const stalled = await new StalledListener().start();
		this.cleanUps.push(async () => stalled.stop());
		const entry = {id: `${this.service}-1`, address: stalled.address};
		await this.#publish([entry]);
		return stalled;
	}

	addressOf(name: string): string {
		return this.fleet.getInstance(name).callersAddress;
	}

	/** Creates a request; `headers` holds its ticket or key if it has one. */
	newRequest(kind: RequestKind, headers: Record<string, string> = {}): CallerRequest {
		const id = randomUUID();
		const request: CallerRequest = {
			id,
			kind,
			service: this.service,
			body: kind === 'query' ? new Uint8Array() : expectedAnswer(`body of ${id}`, requestBytes),
			headers: {[requestIdHeader]: id, [headerNames.deadlineMs]: String(this.deadlineMs), ...headers},
			outcomes: [],
			sendCount: 0,
		};
		this.requests.push(request);
		return request;
	}

	/** Resumes everything that a step holds: the caller, answers of the log, and the upstreams. */
	async resumeAll(): Promise<void> {
		await this.callerGate?.release();
		if (this.answersOnResume) {
			await Promise.all(this.upstreams.map(async upstream => upstream.setBehaviour('answer')));
		}

		await this.fleet.reconnectLog();
		await this.resumeUpstreams();
	}

	/** Resumes the requests that the upstreams hold. */
	async resumeUpstreams(reversed = false): Promise<void> {
		await Promise.all(this.upstreams.map(async upstream => upstream.gate.release(reversed)));
	}

	runCountOf(id: string): number {
		return this.upstreams.reduce((sum, upstream) => sum + upstream.runs.countOf(id), 0);
	}

	/** Publishes the service, then waits until every instance is listed and its claims work: instances list themselves once they have a configuration. */
	async #publish(upstreams: readonly UpstreamEntry[], options: Omit<RulesOptions, 'service'> = {}): Promise<void> {
		await this.fleet.publishService(this.service, upstreams, createRules({service: this.service, ...options}));
		await this.fleet.waitUntilAllListed(this.instanceNames);
		await this.fleet.waitUntilClaimsWork(this.instanceNames);
	}
}
