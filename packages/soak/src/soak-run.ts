/** Runs one schedule against the real program and resolves with what callers and upstreams observed. */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import type {UpstreamStandIn} from '@cairnbank/platform/spec-support/upstream-stand-in';
import {createRandomSource} from '@cairnbank/core/random';
import {AccountEvents, isAccountEvent} from './account-events.js';
import {FleetCaller} from './fleet-callers.js';
import {FaultInjector} from './fault-injector.js';
import type {
	AccountArrivalRecord, ArrivalRecord, BackOffRecord, CallRecord, CrashingRequestRecord, FloodCalls, History, RunRecord,
} from './history.js';
import {InstanceEvents, isInstanceEvent} from './instance-events.js';
import {runLongRequestCaller} from './long-request-caller.js';
import type {Schedule, SoakEvent} from './schedule.js';
import {runSendingAheadCaller} from './sending-ahead-caller.js';
import {callOnce, runSoakCaller} from './soak-caller.js';
import {SoakSite} from './soak-site.js';

/** Time after the last fault, before all requests should succeed again. It is long enough for all guarantees to be checked again at its end. */
const settleMs = 7000;
const finalCallsPerInstance = 8;
/** Over the limit, also as seen by an owner that does not know yet what was used before it. */
const refusalStatuses = new Set([429, 503]);
/** Applies to every second caller, so that each instance gets requests even if no instance ends. */
const requestsPerConnection = 20;
/** Number of seeds for callers per schedule, so that schedules with consecutive seeds share none. */
const callerSeedsPerSchedule = 1000;
const fleetCallerSeedOffset = 500;

export class SoakRun {
	readonly #schedule: Schedule;
	readonly #site: SoakSite;
	readonly #injector: FaultInjector;
	readonly #accountEvents: AccountEvents;
	readonly #instanceEvents: InstanceEvents;

	/** @param program - path of the program to test; defaults to the compiled program */
	constructor(schedule: Schedule, program?: string) {
		this.#schedule = schedule;
		this.#site = new SoakSite(schedule, program);
		this.#injector = new FaultInjector(this.#site);
		this.#accountEvents = new AccountEvents(this.#site);
		this.#instanceEvents = new InstanceEvents(this.#site);
	}

	/** Log lines of all instances, to analyse a breach. */
	get logs(): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.#site.logs;
	}

	async execute(): Promise<History> {
		const stopCallers = new AbortController();
		setMaxListeners(this.#schedule.callers + (this.#schedule.fleetCallers?.length ?? 0) + 2, stopCallers.signal);
		const stopWatching = this.#injector.watchForPauses();
		try {
			const {duringStart} = this.#schedule;
			let callers: Array<Promise<CallRecord[]>> = [];
			const starting: Array<Promise<void>> = [];
			await this.#site.start(this.#schedule, () => {
				callers = duringStart === undefined ? [] : this.#startCallers(stopCallers.signal);
				starting.push(...(duringStart ?? []).map(async event => this.#inject(event)));
			});
			await Promise.all(starting);
			callers = duringStart === undefined ? this.#startCallers(stopCallers.signal) : callers;
			await this.#injectAll();
			await delay(settleMs);
			const afterwards = await this.#callAfterwards();
			stopCallers.abort();
			const records = await Promise.all(callers);
			return this.#history([...records.flat(), ...afterwards], afterwards);
		} finally {
			stopCallers.abort();
			stopWatching();
			await this.#site.stop();
		}
	}

	#startCallers(stop: AbortSignal): Array<Promise<CallRecord[]>> {
		const callers = Array.from({length: this.#schedule.callers}, async (_, index) => {
			const random = createRandomSource((this.#schedule.seed * callerSeedsPerSchedule) + index);
			return runSoakCaller({
				name: `c${index}`,
				random,
				stop,
				resolve: async () => this.#site.resolve(random.nextInteger(this.#site.entries.length)),
				bursts: this.#schedule.bursts,
				requestsPerConnection: index % 2 === 0 ? Number.POSITIVE_INFINITY : requestsPerConnection,
			});
		});
		return [...callers, ...this.#startFleetCallers(stop), this.#startSendingAhead(stop), ...(this.#schedule.hasLongRequests ? [this.#startLongRequests(stop)] : [])];
	}

	#startFleetCallers(stop: AbortSignal): Array<Promise<CallRecord[]>> {
		const {seed, fleetCallers = []} = this.#schedule;
		return fleetCallers.map(async (plan, index) => {
			const random = createRandomSource((seed * callerSeedsPerSchedule) + fleetCallerSeedOffset + index);
			return new FleetCaller({
				name: `f${index}`, plan, random, stop, lookUp: async () => this.#site.lookUp(random.nextInteger(this.#site.entries.length)), via: address => this.#site.callerLinks.via(address),
			}).run();
		});
	}

	/** Starts one more caller, with a random source of its own, so that the others do the same with a seed as without it. */
	async #startSendingAhead(stop: AbortSignal): Promise<CallRecord[]> {
		const random = createRandomSource((this.#schedule.seed * callerSeedsPerSchedule) + this.#schedule.callers);
		return runSendingAheadCaller({
			name: 'ahead',
			stop,
			resolve: async () => {
				const addresses = await this.#site.resolve(random.nextInteger(this.#site.entries.length));
				return addresses[random.nextInteger(Math.max(1, addresses.length))];
			},
		});
	}

	/** Starts one more caller, like the one that sends ahead. */
	async #startLongRequests(stop: AbortSignal): Promise<CallRecord[]> {
		const random = createRandomSource((this.#schedule.seed * callerSeedsPerSchedule) + this.#schedule.callers + 1);
		return runLongRequestCaller({
			name: 'long',
			random,
			stop,
			resolve: async () => this.#site.resolve(random.nextInteger(this.#site.entries.length)),
		});
	}

	/** Resolves once all faults are over. */
	async #injectAll(): Promise<void> {
		const startMs = performance.now();
		const pending: Array<Promise<void>> = [];
		for (const {atMs, event} of this.#schedule.events) {
			await delay(Math.max(0, startMs + atMs - performance.now()));
			pending.push(this.#inject(event));
		}

		await delay(Math.max(0, startMs + this.#schedule.durationMs - performance.now()));
		await Promise.all(pending);
	}

	async #inject(event: SoakEvent): Promise<void> {
		if (isAccountEvent(event)) {
			return this.#accountEvents.inject(event);
		}

		return isInstanceEvent(event) ? this.#instanceEvents.inject(event) : this.#injector.inject(event);
	}

	async #callAfterwards(): Promise<CallRecord[]> {
		const records: CallRecord[] = [];
		for (const {settings} of this.#site.entries) {
			for (let index = 0; index < finalCallsPerInstance; index++) {
				const id = `after-${settings.host}-${index}`;
				const {record} = await callOnce(settings.listen.callers, {id, method: 'GET', path: `/read/${id}`});
				records.push(record);
			}
		}

		return records;
	}

	#history(calls: readonly CallRecord[], afterwards: readonly CallRecord[]): History {
		const runs: RunRecord[] = this.#site.upstreams.flatMap(upstream => runsOf(upstream));
		const arrivals: ArrivalRecord[] = this.#site.upstreams.flatMap(({id: upstream, arrivals: ofUpstream}) => ofUpstream.map(({id, atMs}) => ({id, atMs, upstream})));
		const backOffs: BackOffRecord[] = this.#site.upstreams.flatMap(({id: upstream, backOffs: backedOff}) => backedOff.map(backOff => ({...backOff, upstream})));
		const {
			lags, drains, limits, leavings, cuts, crashing,
		} = this.#injector;
		const {stops, stopCalls, memory} = this.#instanceEvents;
		const {accounts, floods, limitLoweredAtMs} = this.#accountEvents;
		const crashRuns = this.#site.crashing.upstreams.flatMap(upstream => runsOf(upstream));
		const crashes: CrashingRequestRecord[] = [...new Set(crashing.map(({path}) => path))].map(path => {
			const ofPath = crashing.filter(other => other.path === path);
			const crashCalls = ofPath.flatMap(other => other.calls);
			const ids = new Set(crashCalls.map(({id}) => id));
			return {calls: crashCalls, harmlessCalls: ofPath.flatMap(({harmlessCalls}) => harmlessCalls), runs: crashRuns.filter(({id}) => ids.has(id))};
		});
		return {
			calls: [...calls, ...accounts.flatMap(({calls: ofAccounts}) => ofAccounts.map(({record}) => record)), ...observedOf(floods, runs), ...withoutRefused(stopCalls, runs)],
			runs,
			arrivals,
			backOffs,
			disturbances: [...this.#injector.disturbances, ...this.#instanceEvents.disturbances],
			lags, drains, limits, leavings, stops, cuts, crashes, accounts, floods, limitLoweredAtMs,
			accountArrivals: this.#site.upstreams.flatMap(upstream => accountArrivalsOf(upstream)),
			afterwards,
			memory,
		};
	}
}

function observedOf(floods: readonly FloodCalls[], runs: readonly RunRecord[]): readonly CallRecord[] {
	const calls = floods.flatMap(flood => flood.calls);
	const recordsOf = (isFlooding: boolean) => calls.filter(call => call.isFlooding === isFlooding).map(({record}) => record);
	return [...recordsOf(false), ...withoutRefused(recordsOf(true), runs)];
}

/** Leaves out requests that were refused, unless they ran: many of them would make room for repeats and change the shares that are served. */
function withoutRefused(calls: readonly CallRecord[], runs: readonly RunRecord[]): readonly CallRecord[] {
	const ran = new Set(runs.map(({id}) => id));
	return calls.filter(({id, end}) => end.type !== 'answered' || !refusalStatuses.has(end.status) || ran.has(id));
}

/** Returns the requests on the route that needs an account. */
function accountArrivalsOf({id: upstream, arrivals}: UpstreamStandIn): readonly AccountArrivalRecord[] {
	return arrivals.filter(({id}) => id.startsWith('account-')).map(({id, atMs, rawHeaders}) => {
		const valuesOf = (header: string) => rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === header);
		return {
			id, upstream, atMs, accounts: valuesOf('x-tenant'), hasKey: valuesOf('authorization').length > 0,
		};
	});
}

function runsOf({id: upstream, executedIds, executedAtMs, executedEnds}: UpstreamStandIn): readonly RunRecord[] {
	return executedIds.map((id, index) => {
		const end = executedEnds[index];
		return {
			id, upstream, atMs: executedAtMs[index]!, ...(end === undefined ? {} : {end}),
		};
	});
}
