/** What one scenario knows: its cell, its service, its requests and what callers were told. */
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

export type CoveredCell = {
	readonly fault: Fault;
	readonly secondFault?: Fault;
	readonly step: RequestStep;
};

const requestBytes = 300_000;
const defaultDeadlineMs = 10_000;
/** Where connecting never ends, the deadline does it. */
const stalledDeadlineMs = 2000;
let serviceCount = 0;

export class MatrixWorld extends World<WorldParameters> {
	readonly coveredCells: CoveredCell[] = [];
	readonly requests: CallerRequest[] = [];
	readonly upstreams: ScriptedUpstream[] = [];
	/** Exchanges that a step began and a later one ends. */
	readonly openExchanges: Array<Promise<CallerOutcome>> = [];
	/** Upstreams answer at once as soon as what is held goes on, so that what was queued ends too. */
	answersOnResume = false;
	/** Where the caller itself waits in its sending or reading. */
	callerGate: Gate | undefined;
	/** Ends, from the caller's side, what is under way. */
	callerAbort = new AbortController();
	/** Run at the scenario's end, last first. */
	readonly cleanUps: Array<() => Promise<void>> = [];
	readonly service: string;
	fleet!: Fleet;
	/** The instances of the scenario, by name. */
	instanceNames: readonly string[] = ['A'];
	/** When the request was held: the deadline that an instance knows began before. */
	heldAtMs = 0;
	/** What new requests allow. */
	deadlineMs = defaultDeadlineMs;

	constructor(options: IWorldOptions<WorldParameters>) {
		super(options);
		serviceCount += 1;
		this.service = `service-${serviceCount}`;
	}

	get request(): CallerRequest {
		return this.requests.at(-1)!;
	}

	/** Requests that came to the upstreams, run or not. */
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

	/** Starts the upstreams and publishes the service with them. */
	async startService(listed: readonly Behaviour[], options: Omit<RulesOptions, 'service'> = {}): Promise<void> {
		await this.startInstances(this.instanceNames);
		for (const [index, behaviour] of listed.entries()) {
			const upstream = await new ScriptedUpstream(`${this.service}-${index + 1}`).start();
			await upstream.setBehaviour(behaviour);
			this.upstreams.push(upstream);
		}

		await this.#publish(this.upstreams, options);
	}

	/** Sends without waiting for the end. */
	startSending(options: SendOptions): void {
		this.openExchanges.push(sendRequest(this.request, {signal: this.callerAbort.signal, ...options}));
	}

	/** The caller closes its connections and hears no more of what it sent. */
	async abortOpenExchanges(): Promise<void> {
		this.callerAbort.abort();
		await Promise.all(this.openExchanges);
		this.callerAbort = new AbortController();
	}

	/** Publishes the service with one upstream at which connecting never ends. */
	async startStalledService(): Promise<StalledListener> {
		await this.startInstances(this.instanceNames);
		this.deadlineMs = Math.min(this.deadlineMs, stalledDeadlineMs);
		const stalled = await new StalledListener().start();
		this.cleanUps.push(async () => stalled.stop());
		const listed = {id: `${this.service}-1`, address: stalled.address};
		await this.#publish([listed]);
		return stalled;
	}

	address(name: string): string {
		return this.fleet.getInstance(name).callers;
	}

	/** A new request; tickets and keys are added by the steps that get them. */
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

	/** Lets everything go on that a step holds: the caller, the log's answers and the upstreams. */
	async resumeAll(): Promise<void> {
		await this.callerGate?.release();
		if (this.answersOnResume) {
			await Promise.all(this.upstreams.map(async upstream => upstream.setBehaviour('answer')));
		}

		await this.fleet.reconnectLog();
		await this.resumeUpstreams();
	}

	/** Lets requests that the upstreams hold go on. */
	async resumeUpstreams(reversed = false): Promise<void> {
		await Promise.all(this.upstreams.map(async upstream => upstream.gate.release(reversed)));
	}

	runCountOf(id: string): number {
		return this.upstreams.reduce((sum, upstream) => sum + upstream.runs.of(id), 0);
	}

	/** Instances offer themselves to callers once they have a configuration. */
	async #publish(listed: readonly UpstreamEntry[], options: Omit<RulesOptions, 'service'> = {}): Promise<void> {
		await this.fleet.publishService(this.service, listed, createRules({service: this.service, ...options}));
		await this.fleet.waitUntilAllListed(this.instanceNames);
		await this.fleet.waitUntilClaimsWork(this.instanceNames);
	}
}
