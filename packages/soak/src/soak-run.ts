/** Plays one schedule on the real program and resolves with what callers and upstreams saw. */
import {setTimeout as delay} from 'node:timers/promises';
import {createRandomSource} from '@cairnbank/core/random';
import {paymentRoute, route, Site} from '@cairnbank/platform/spec-support/site';
import type {StoreCopy} from '@cairnbank/platform/spec-support/store-stand-in';
import {UpstreamStandIn, type UpstreamBehaviour} from '@cairnbank/platform/spec-support/upstream-stand-in';
import {waitFor} from '@cairnbank/testing/harness';
import type {
	ArrivalRecord, BackOffRecord, CallRecord, Disturbance, DrainMark, History, LeavingMark, LimitMark, RunRecord, StopRecord,
} from './history.js';
import {LinkProxy} from './link-proxy.js';
import type {Schedule, SoakEvent} from './schedule.js';
import {callOnce, runSoakCaller} from './soak-caller.js';

/** After the last fault, before everything is to be served again; long enough for all promises to be judged at its end. */
const settleMs = 7000;
/** An instance ends within its grace time, and some more on a busy machine. */
const stopWaitMs = 20_000;
const copyIntervalMs = 1500;
const callsAfterwards = 8;
/** An answer of a large fleet names some of its instances only. */
const enoughAddresses = 8;
/** Of every second caller, so that each instance gets requests also where none ends. */
const requestsPerConnection = 20;

export class SoakRun {
	readonly #schedule: Schedule;
	readonly #site: Site;
	readonly #upstreams: UpstreamStandIn[] = [];
	readonly #proxies: LinkProxy[] = [];
	readonly #disturbances: Disturbance[] = [];
	readonly #drains: DrainMark[] = [];
	readonly #limits: LimitMark[] = [];
	readonly #leavings: LeavingMark[] = [];
	readonly #stops: StopRecord[] = [];
	readonly #pending = new Set<Promise<void>>();
	/** Instances that are ending or starting; further signals pass them by. */
	readonly #busy = new Set<number>();
	readonly #sequences = new Map<string, number>();
	#copies: StoreCopy[] = [];
	#version = 1;

	/** @param program - path of the program that is played; the one that the build leaves, unless said otherwise */
	constructor(schedule: Schedule, program?: string) {
		this.#schedule = schedule;
		this.#site = new Site({logging: {level: 'info', sampleOneIn: 1}, ...(program === undefined ? {} : {program})});
	}

	/** Log lines of all instances that are up at the end, to trace a breach. */
	get logs(): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.#site.entries.flatMap(entry => entry.process.lines);
	}

	async play(): Promise<History> {
		const stopCallers = new AbortController();
		const copyTimer = setInterval(() => {
			this.#copies = [...this.#copies.slice(-2), this.#site.store.copy()];
		}, copyIntervalMs);
		try {
			await this.#start();
			const callers = this.#startCallers(stopCallers.signal);
			await this.#inject();
			await Promise.all(this.#pending);
			await delay(settleMs);
			const afterwards = await this.#callAfterwards();
			stopCallers.abort();
			const records = await Promise.all(callers);
			return this.#history([...records.flat(), ...afterwards], afterwards);
		} finally {
			clearInterval(copyTimer);
			stopCallers.abort();
			await this.#site.stop();
			for (const proxy of this.#proxies) {
				proxy.stop();
			}

			await Promise.all(this.#upstreams.map(async upstream => upstream.stop()));
		}
	}

	async #start(): Promise<void> {
		const {instances, upstreams, workMs} = this.#schedule;
		await this.#site.start(0, 0);
		this.#configure();
		for (let index = 0; index < upstreams; index++) {
			const upstream = await new UpstreamStandIn(`u${index}`, 'ledger', 50).start();
			upstream.workMs = workMs;
			const proxy = await new LinkProxy(upstream.address).start();
			this.#upstreams.push(upstream);
			this.#proxies.push(proxy);
			this.#register(index, 'ready');
		}

		for (let index = 0; index < instances; index++) {
			await this.#site.addEntry();
		}

		await waitFor('all instances to know each other', async () => {
			const offers = await Promise.all(this.#site.entries.map(async entry => entry.resolve()));
			return offers.every(addresses => addresses.length >= Math.min(instances, enoughAddresses));
		});
		this.#copies = [this.#site.store.copy()];
	}

	#configure(): void {
		this.#version += 1;
		this.#site.configure(`r${this.#version}`, [
			route('read', '/read/'),
			paymentRoute('pay', '/pay/'),
			route('new', `/new-${this.#version}/`),
		]);
	}

	#register(index: number, state: 'ready' | 'draining'): void {
		const upstream = this.#upstreams[index]!;
		const sequence = (this.#sequences.get(upstream.id) ?? 0) + 1;
		this.#sequences.set(upstream.id, sequence);
		this.#site.register(upstream, this.#proxies[index]!.address, sequence, state);
	}

	#startCallers(stop: AbortSignal): Array<Promise<CallRecord[]>> {
		return Array.from({length: this.#schedule.callers}, async (_, index) => {
			const random = createRandomSource((this.#schedule.seed * 1000) + index);
			return runSoakCaller({
				name: `c${index}`,
				random,
				stop,
				resolve: async () => this.#resolve(random.below(this.#site.entries.length)),
				requestsPerConnection: index % 2 === 0 ? Number.POSITIVE_INFINITY : requestsPerConnection,
			});
		});
	}

	/** Asks instances in turn until one answers. */
	async #resolve(first: number): Promise<readonly string[]> {
		const {entries} = this.#site;
		for (let index = 0; index < entries.length; index++) {
			try {
				const addresses = await entries[(first + index) % entries.length]!.resolve();
				if (addresses.length > 0) {
					return addresses;
				}
			} catch {
				// It is starting, or has ended: the next one is asked.
			}
		}

		return [];
	}

	async #inject(): Promise<void> {
		const startMs = performance.now();
		for (const {atMs, event} of this.#schedule.events) {
			await delay(Math.max(0, startMs + atMs - performance.now()));
			const done = this.#apply(event);
			this.#pending.add(done);
		}

		await delay(Math.max(0, startMs + this.#schedule.durationMs - performance.now()));
	}

	async #apply(event: SoakEvent): Promise<void> {
		switch (event.type) {
			case 'stop': {
				return this.#end(event.instance, 'SIGTERM');
			}

			case 'kill': {
				return this.#end(event.instance, 'SIGKILL');
			}

			case 'pause': {
				return this.#pause(event.instance, event.forMs);
			}

			case 'reload': {
				if (!this.#busy.has(event.instance)) {
					this.#site.entries[event.instance]!.process.kill('SIGHUP');
				}

				return;
			}

			case 'configure': {
				this.#configure();
				return;
			}

			case 'drain': {
				return this.#drain(event.upstream);
			}

			case 'leave': {
				return this.#leave(event.upstream, event.entryAfterMs);
			}

			case 'back-off': {
				this.#upstreams[event.upstream]!.backOffSeconds = event.seconds;
				return this.#misbehave(event.upstream, 'sheds', event.forMs);
			}

			case 'misbehave': {
				return this.#misbehave(event.upstream, event.behaviour, event.forMs);
			}

			case 'limit': {
				return this.#limit(event.upstream, event.requestsPerSecond, event.forMs);
			}

			case 'link': {
				const proxy = this.#proxies[event.upstream]!;
				proxy.put(event.fault);
				await this.#disturb({kind: 'link', upstream: this.#upstreams[event.upstream]!.id}, async () => delay(event.forMs));
				proxy.put({type: 'none'});
				return;
			}

			case 'store': {
				const door = this.#site.doorOf(event.instance);
				door.fault = event.fault;
				await this.#disturb({kind: 'store'}, async () => delay(event.forMs));
				door.fault = {type: 'none'};
				return;
			}

			case 'restore': {
				return this.#restore();
			}
		}
	}

	/** Ends an instance and starts it again in its place. */
	async #end(index: number, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		if (this.#busy.has(index)) {
			return;
		}

		this.#busy.add(index);
		const {process: ending, settings: {host}} = this.#site.entries[index]!;
		const wasKilled = signal === 'SIGKILL';
		const end = async () => {
			ending.kill(signal);
			await waitFor(`end of ${host}`, () => ending.exit !== undefined, stopWaitMs);
			this.#stops.push({
				instance: host, exitCode: ending.exit?.code, wasKilled, errors: ending.otherLines.slice(-20),
			});
		};

		await this.#disturb({kind: wasKilled ? 'instance' : 'restart', instance: host}, async () => {
			await end();
			const entry = await this.#site.restartEntry(index);
			await entry.ready();
		});
		this.#busy.delete(index);
	}

	async #pause(index: number, forMs: number): Promise<void> {
		if (this.#busy.has(index)) {
			return;
		}

		this.#busy.add(index);
		const {process: paused, settings: {host}} = this.#site.entries[index]!;
		await this.#disturb({kind: 'instance', instance: host}, async () => {
			paused.kill('SIGSTOP');
			await delay(forMs);
			paused.kill('SIGCONT');
		});
		this.#busy.delete(index);
	}

	/** It says that it leaves, and serves what still comes. */
	async #drain(index: number): Promise<void> {
		const {id} = this.#upstreams[index]!;
		if (this.#drains.some(({upstream}) => upstream === id)) {
			return;
		}

		this.#register(index, 'draining');
		this.#drains.push({upstream: id, atMs: performance.now()});
	}

	async #leave(index: number, entryAfterMs: number): Promise<void> {
		const upstream = this.#upstreams[index]!;
		if (upstream.isLeaving) {
			return;
		}

		upstream.isLeaving = true;
		upstream.tellsLeavingInChecks = index % 2 === 0;
		this.#leavings.push({upstream: upstream.id, atMs: performance.now()});
		await delay(entryAfterMs);
		await this.#drain(index);
	}

	async #misbehave(index: number, behaviour: UpstreamBehaviour, forMs: number): Promise<void> {
		const upstream = this.#upstreams[index]!;
		upstream.behaviour = behaviour;
		await delay(forMs);
		upstream.behaviour = 'answers';
	}

	async #limit(index: number, requestsPerSecond: number, forMs: number): Promise<void> {
		const upstream = this.#upstreams[index]!;
		if (upstream.rateLimit !== undefined) {
			return;
		}

		upstream.limitNamedAtMs = undefined;
		upstream.rateLimit = requestsPerSecond;
		await delay(forMs);
		upstream.rateLimit = undefined;
		if (upstream.limitNamedAtMs !== undefined) {
			this.#limits.push({
				upstream: upstream.id, requestsPerSecond, fromMs: upstream.limitNamedAtMs, untilMs: performance.now(),
			});
		}
	}

	/** The store comes back from its oldest copy; operators and upstreams write again what it lost. */
	async #restore(): Promise<void> {
		await this.#disturb({kind: 'store'}, async () => {
			this.#site.store.restore(this.#copies[0]!);
			this.#copies = [this.#site.store.copy()];
			await delay(copyIntervalMs / 2);
			this.#configure();
			for (const [index, {id}] of this.#upstreams.entries()) {
				this.#register(index, this.#drains.some(({upstream}) => upstream === id) ? 'draining' : 'ready');
			}
		});
	}

	async #disturb(disturbance: Pick<Disturbance, 'kind' | 'instance' | 'upstream'>, during: () => Promise<unknown>): Promise<void> {
		const fromMs = performance.now();
		await during();
		this.#disturbances.push({...disturbance, fromMs, untilMs: performance.now()});
	}

	async #callAfterwards(): Promise<CallRecord[]> {
		const records: CallRecord[] = [];
		for (const {settings} of this.#site.entries) {
			for (let index = 0; index < callsAfterwards; index++) {
				const id = `after-${settings.host}-${index}`;
				const {record} = await callOnce(settings.listen.callers, {id, method: 'GET', path: `/read/${id}`});
				records.push(record);
			}
		}

		return records;
	}

	#history(calls: readonly CallRecord[], afterwards: readonly CallRecord[]): History {
		const runs: RunRecord[] = this.#upstreams.flatMap(({id: upstream, ran, ranAtMs}) => ran.map((id, index) => ({id, upstream, atMs: ranAtMs[index]!})));
		const arrivals: ArrivalRecord[] = this.#upstreams.flatMap(({id: upstream, arrivals: ofUpstream}) => ofUpstream.map(arrival => ({...arrival, upstream})));
		const backOffs: BackOffRecord[] = this.#upstreams.flatMap(({id: upstream, backedOff}) => backedOff.map(backOff => ({...backOff, upstream})));
		return {
			calls,
			runs,
			arrivals,
			backOffs,
			disturbances: this.#disturbances,
			drains: this.#drains,
			limits: this.#limits,
			leavings: this.#leavings,
			stops: this.#stops,
			afterwards,
		};
	}
}
