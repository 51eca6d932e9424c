/** Injects the faults of a schedule into a site and records the period of each. */
import {setTimeout as delay} from 'node:timers/promises';
import type {UpstreamBehaviour, UpstreamStandIn} from '@cairnbank/platform/spec-support/upstream-stand-in';
import {spoil} from '@cairnbank/platform/spec-support/spoiled-bytes';
import type {AccountEvent} from './account-events.js';
import {runCrashingCaller, type CrashingCalls} from './crashing-caller.js';
import type {
	CutRecord, Disturbance, DrainRecord, Lag, LeavingRecord, LimitRecord,
} from './history.js';
import type {InstanceEvent} from './instance-events.js';
import type {SoakEvent} from './schedule.js';
import type {SoakSite} from './soak-site.js';
import {watchForPauses} from './stall-watch.js';

/** Delay after which operators and upstreams rewrite the records that a restored store has lost. */
const rewriteDelayMs = 750;

export class FaultInjector {
	readonly disturbances: Disturbance[] = [];
	readonly lags: Lag[] = [];
	readonly drains: DrainRecord[] = [];
	readonly limits: LimitRecord[] = [];
	readonly leavings: LeavingRecord[] = [];
	readonly cuts: CutRecord[] = [];
	readonly crashing: CrashingCalls[] = [];
	readonly #site: SoakSite;
	/** Number of requests that crash upstreams so far. */
	#crashes = 0;

	constructor(site: SoakSite) {
		this.#site = site;
	}

	/** Records each pause of this process. @returns a function that stops the recording */
	watchForPauses(): () => void {
		return watchForPauses({
			onLag: lag => {
				this.lags.push(lag);
			},
			onStall: (fromMs, untilMs) => {
				this.disturbances.push({kind: 'stall', fromMs, untilMs});
			},
		});
	}

	/** Resolves once the fault is over. */
	async inject(event: Exclude<SoakEvent, AccountEvent | InstanceEvent>): Promise<void> {
		switch (event.type) {
			case 'configure': {
				this.#site.configure();
				return;
			}

			case 'drain': {
				return this.#drain(event.upstream);
			}

			case 'leave': {
				return this.#leave(event.upstream, event.entryAfterMs);
			}

			case 'back-off': {
				this.#site.upstreams[event.upstream]!.backOffSeconds = event.seconds;
				return this.#misbehave(event.upstream, 'sheds', event.forMs);
			}

			case 'misbehave': {
				return this.#misbehave(event.upstream, event.behaviour, event.forMs);
			}

			case 'spoil': {
				return this.#spoil(event);
			}

			case 'limit': {
				return this.#limit(event.upstream, event.requestsPerSecond, event.forMs);
			}

			case 'link': {
				const proxy = this.#site.proxies[event.upstream]!;
				proxy.setFault(event.fault);
				await this.#recordDisturbance({kind: 'link', upstream: this.#site.upstreams[event.upstream]!.id}, async () => delay(event.forMs));
				proxy.setFault({type: 'none'});
				return;
			}

			case 'store': {
				const store = this.#site.storeSeenBy(event.instance);
				store.fault = event.fault;
				await this.#recordDisturbance({kind: 'store'}, async () => delay(event.forMs));
				store.fault = {type: 'none'};
				return;
			}

			case 'restore': {
				return this.#restore();
			}

			case 'cut': {
				return this.#cut(event);
			}

			case 'crash': {
				this.#crashes += 1;
				this.crashing.push(await runCrashingCaller({
					request: event.request, name: `${event.request}-${this.#crashes}`, addresses: this.#site.entries.map(entry => entry.settings.listen.callers), durationMs: event.forMs,
				}));
				return;
			}

			case 'outage': {
				await Promise.all(this.#site.upstreams.map(async (_, index) => this.#misbehave(index, event.behaviour, event.forMs)));
			}
		}
	}

	/** Marks the registry entry of an upstream as draining. It still serves the requests that it gets. */
	async #drain(index: number): Promise<void> {
		const {id} = this.#site.upstreams[index]!;
		if (this.drains.some(({upstream}) => upstream === id)) {
			return;
		}

		this.#site.register(index, 'draining');
		this.drains.push({upstream: id, atMs: performance.now()});
	}

	async #leave(index: number, entryAfterMs: number): Promise<void> {
		const upstream = this.#site.upstreams[index]!;
		if (upstream.isLeaving) {
			return;
		}

		upstream.isLeaving = true;
		upstream.announcesLeavingInHealthChecks = index % 2 === 0;
		this.leavings.push({upstream: upstream.id, atMs: performance.now()});
		await delay(entryAfterMs);
		await this.#drain(index);
	}

	async #misbehave(index: number, behaviour: UpstreamBehaviour, forMs: number): Promise<void> {
		const upstream = this.#site.upstreams[index]!;
		upstream.behaviour = behaviour;
		await delay(forMs);
		upstream.behaviour = 'answers';
	}

	async #spoil({upstream: index, spoiling, oneIn, forMs}: Extract<SoakEvent, {readonly type: 'spoil'}>): Promise<void> {
		const upstream = this.#site.upstreams[index]!;
		let answers = 0;
		const rewrites: UpstreamStandIn['rewritesAnswer'] = answer => {
			answers += 1;
			return answers % oneIn === 0 ? spoil(answer, spoiling, answers / oneIn) : undefined;
		};

		upstream.rewritesAnswer = rewrites;
		await delay(forMs);
		// Another event may have taken its place meanwhile.
		if (upstream.rewritesAnswer === rewrites) {
			upstream.rewritesAnswer = undefined;
		}
	}

	async #limit(index: number, requestsPerSecond: number, forMs: number): Promise<void> {
		const upstream = this.#site.upstreams[index]!;
		if (upstream.rateLimit !== undefined) {
			return;
		}

		upstream.firstAdvertisedAtMs = undefined;
		upstream.rateLimit = requestsPerSecond;
		await delay(forMs);
		upstream.rateLimit = undefined;
		if (upstream.firstAdvertisedAtMs !== undefined) {
			this.limits.push({
				upstream: upstream.id, requestsPerSecond, fromMs: upstream.firstAdvertisedAtMs, untilMs: performance.now(),
			});
		}
	}

	/** Cuts the links of instances. One that starts meanwhile has none either. */
	async #cut({instances, cut, forMs}: Extract<SoakEvent, {readonly type: 'cut'}>): Promise<void> {
		const fromMs = performance.now();
		for (const index of instances) {
			this.#site.cut(index, cut);
		}

		await delay(forMs);
		for (const index of instances) {
			this.#site.heal(index);
		}

		this.cuts.push({instances: instances.map(index => this.#site.entries[index]!.settings.host), fromMs, untilMs: performance.now()});
	}

	/** Restores the store from its oldest copy. Operators and upstreams then rewrite the lost records. */
	async #restore(): Promise<void> {
		await this.#recordDisturbance({kind: 'store'}, async () => {
			this.#site.restoreStore();
			await delay(rewriteDelayMs);
			this.#site.configure();
			this.#site.crashing.register();
			for (const [index, {id}] of this.#site.upstreams.entries()) {
				this.#site.register(index, this.drains.some(({upstream}) => upstream === id) ? 'draining' : 'ready');
			}
		});
	}

	async #recordDisturbance(disturbance: Pick<Disturbance, 'kind' | 'instance' | 'upstream'>, during: () => Promise<unknown>): Promise<void> {
		const fromMs = performance.now();
		await during();
		this.disturbances.push({...disturbance, fromMs, untilMs: performance.now()});
	}
}
