/** What one scenario knows: its cell, its service, its requests and what callers were told. */
import {randomUUID} from 'node:crypto';
import {World, type IWorldOptions} from '@cucumber/cucumber';
import {headerNames} from '@cairnbank/protocol';
import type {Fault} from '../cells/faults.js';
import type {StepOfLife} from '../cells/steps-of-life.js';
import type {Behaviour} from '../fixtures/behaviour.js';
import type {CallerRequest} from '../fixtures/caller-request.js';
import {expectedAnswer} from '../fixtures/expected-answer.js';
import type {Fleet, ListedUpstream} from '../fixtures/fleet.js';
import {fleetOf} from '../fixtures/fleets.js';
import type {Gate} from '../fixtures/gate.js';
import type {RequestKind} from '../fixtures/request-kind.js';
import {rulesOf, type RulesOptions} from '../fixtures/rules.js';
import {ScriptedUpstream} from '../fixtures/scripted-upstream.js';
import {sendRequest, type SendOptions} from '../fixtures/send-request.js';
import {StalledListener} from '../fixtures/stalled-listener.js';
import type {Told} from '../fixtures/told.js';
import {requestIdHeader} from '../../stand-ins/index.js';

export type WorldParameters = {
	readonly feature: string;
};

export type CellPlace = {
	readonly fault: Fault;
	readonly secondFault?: Fault;
	readonly step: StepOfLife;
};

const requestBytes = 300_000;
const defaultDeadlineMs = 10_000;
/** Where connecting never ends, the deadline does it. */
const stalledDeadlineMs = 2000;
let services = 0;

export class MatrixWorld extends World<WorldParameters> {
	readonly cells: CellPlace[] = [];
	readonly requests: CallerRequest[] = [];
	readonly upstreams: ScriptedUpstream[] = [];
	/** Exchanges that a step began and a later one ends. */
	readonly underWay: Array<Promise<Told>> = [];
	/** Upstreams answer at once as soon as what is held goes on, so that what was queued ends too. */
	answersOnceOn = false;
	/** Where the caller itself waits in its sending or reading. */
	callerGate: Gate | undefined;
	/** Ends, from the caller's side, what is under way. */
	callerLeaves = new AbortController();
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
		services += 1;
		this.service = `service-${services}`;
	}

	get request(): CallerRequest {
		return this.requests.at(-1)!;
	}

	/** Requests that came to the upstreams, run or not. */
	get received(): number {
		return this.upstreams.reduce((sum, upstream) => sum + upstream.received, 0);
	}

	async open(): Promise<void> {
		this.fleet = await fleetOf(this.parameters.feature);
	}

	async startInstances(names: readonly string[]): Promise<void> {
		this.instanceNames = names;
		for (const name of names) {
			await this.fleet.instance(name);
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
	sendAside(options: SendOptions): void {
		this.underWay.push(sendRequest(this.request, {signal: this.callerLeaves.signal, ...options}));
	}

	/** The caller closes its connections and hears no more of what it sent. */
	async giveUp(): Promise<void> {
		this.callerLeaves.abort();
		await Promise.all(this.underWay);
		this.callerLeaves = new AbortController();
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
		return this.fleet.known(name).callersAddress;
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
			told: [],
			sends: 0,
		};
		this.requests.push(request);
		return request;
	}

	/** Lets everything go on that a step holds: the caller, the log's answers and the upstreams. */
	async goOn(): Promise<void> {
		await this.callerGate?.open();
		if (this.answersOnceOn) {
			await Promise.all(this.upstreams.map(async upstream => upstream.setBehaviour('answer')));
		}

		await this.fleet.passLogs();
		await this.letGo();
	}

	/** Lets requests that the upstreams hold go on. */
	async letGo(reversed = false): Promise<void> {
		await Promise.all(this.upstreams.map(async upstream => upstream.gate.open(reversed)));
	}

	runsOf(id: string): number {
		return this.upstreams.reduce((sum, upstream) => sum + upstream.runs.countOf(id), 0);
	}

	/** Instances offer themselves to callers once they have a configuration. */
	async #publish(listed: readonly ListedUpstream[], options: Omit<RulesOptions, 'service'> = {}): Promise<void> {
		await this.fleet.publishService(this.service, listed, rulesOf({service: this.service, ...options}));
		await this.fleet.untilAllKnown(this.instanceNames);
		await this.fleet.untilClaimsProven(this.instanceNames);
	}
}
