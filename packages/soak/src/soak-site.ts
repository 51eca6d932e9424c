/** The site of a soak: instances of the real program, a store, and upstreams, each behind its own proxy. */
import type {AddressList, InstanceProcess} from '@cairnbank/platform/spec-support/instance-process';
import {LinkProxy} from '@cairnbank/platform/spec-support/link-proxy';
import {defaultRetryBound, type RetryBound} from '@cairnbank/platform/spec-support/retry-bound';
import {LinkedSite, type LinkCut} from '@cairnbank/platform/spec-support/linked-site';
import {paymentRoute, route} from '@cairnbank/platform/spec-support/site';
import type {StoreCopy, StoreStandIn} from '@cairnbank/platform/spec-support/store-stand-in';
import {UpstreamStandIn} from '@cairnbank/platform/spec-support/upstream-stand-in';
import {waitFor} from '@cairnbank/testing/harness';
import {CallerLinks} from './caller-links.js';
import {CrashingUpstreams, crashingService} from './crashing-upstreams.js';
import type {Schedule} from './schedule.js';

/** Interval between copies of the store. A restored copy is up to three intervals old. */
const copyIntervalMs = 1500;
const maximumCopies = 3;
/** Enough slots that a site without faults never rejects a request for lack of capacity. */
const slots = 50;
/** The window is shorter than in production, so that instances have their shares again soon after a start. The slack is reduced in proportion. */
export const soakRetryBound: RetryBound = {...defaultRetryBound, slack: 12, windowMs: 2000};
/** In a large fleet, an address list contains only some of the instances. */
const maximumExpectedAddresses = 8;

/** The first key is taken away in a run. */
export const removedKey = 'shop-key';
export const soakAccounts = [{name: 'shop', apiKeys: [removedKey]}, {name: 'bank', apiKeys: ['bank-key']}] as const;

/** The first one is flooded. */
export const limitedAccounts = [
	{
		name: 'flood', apiKeys: ['flood-key'], ratePerS: 40, burst: 40,
	},
	{
		name: 'modest', apiKeys: ['modest-key'], ratePerS: 20, burst: 20,
	},
] as const;
/** Limit of the flooded account once it was lowered. */
export const loweredLimit = {ratePerS: 15, burst: 15} as const;

export class SoakSite {
	readonly upstreams: UpstreamStandIn[] = [];
	readonly proxies: LinkProxy[] = [];
	readonly crashing: CrashingUpstreams;
	readonly callerLinks: CallerLinks;
	readonly #site: LinkedSite;
	readonly #sequences = new Map<string, number>();
	#copies: StoreCopy[] = [];
	#copyTimer: NodeJS.Timeout | undefined;
	#version = 1;
	/** All other routes are public once there are accounts. */
	#hasAccounts = false;
	#isKeyRemoved = false;
	#isLimitLowered = false;
	readonly #endedLines: Array<Readonly<Record<string, unknown>>> = [];

	/** @param program - path of the program to test; defaults to the compiled program */
	constructor({graceSeconds, callerLinks}: Pick<Schedule, 'graceSeconds' | 'callerLinks'>, program?: string) {
		this.callerLinks = new CallerLinks(callerLinks);
		this.#site = new LinkedSite({
			logging: {level: 'info', sampleOneIn: 1},
			retryBound: soakRetryBound,
			...(graceSeconds === undefined ? {} : {graceSeconds}),
			...(program === undefined ? {} : {program}),
		});
		this.crashing = new CrashingUpstreams(this.#site);
	}

	get entries(): readonly InstanceProcess[] {
		return this.#site.instances;
	}

	/**
	 * Resolves once all instances are ready and know each other.
	 *
	 * @param onFirstReady - called once the first instance is ready
	 */
	async start({instances, upstreams, workMs}: Pick<Schedule, 'instances' | 'upstreams' | 'workMs'>, onFirstReady: () => void): Promise<void> {
		await this.#site.start(0, 0);
		this.configure();
		for (let index = 0; index < upstreams; index++) {
			await this.#addUpstream(index, workMs);
		}

		await this.crashing.start();
		for (let index = 0; index < instances; index++) {
			await this.#site.addInstance();
			if (index === 0) {
				onFirstReady();
			}
		}

		await waitFor('all instances to know each other', async () => {
			const offers = await Promise.all(this.entries.map(async entry => entry.resolve()));
			return offers.every(addresses => addresses.length >= Math.min(instances, maximumExpectedAddresses));
		});
		await Promise.all(this.entries.map(async entry => entry.waitForFleetShare()));
		await Promise.all(this.entries.map(async ({settings}) => this.callerLinks.connect(settings.listen.callers)));
		this.#copies = [this.#site.store.copy()];
		this.#copyTimer = setInterval(() => {
			this.#copies = [...this.#copies, this.#site.store.copy()].slice(-maximumCopies);
		}, copyIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#copyTimer);
		this.callerLinks.stop();
		await this.#site.stop();
		for (const proxy of this.proxies) {
			proxy.stop();
		}

		await Promise.all([this.crashing, ...this.upstreams].map(async upstreams => upstreams.stop()));
	}

	/** Publishes the next version of the configuration. */
	configure(): void {
		this.#version += 1;
		const routes = [
			route('read', '/read/'),
			paymentRoute('pay', '/pay/'),
			route('crash', '/crash/', {service: crashingService}),
			route('new', `/new-${this.#version}/`),
		];
		const published = this.#hasAccounts ? [...routes.map(each => ({...each, public: true})), route('account', '/account/')] : routes;
		this.#site.configure(`r${this.#version}`, published, this.#hasAccounts ? this.#accounts : undefined);
	}

	introduceAccounts(): void {
		this.#hasAccounts = true;
		this.configure();
	}

	removeKey(): void {
		this.#isKeyRemoved = true;
		this.configure();
	}

	lowerLimit(): void {
		this.#isLimitLowered = true;
		this.configure();
	}

	/** Writes the next registry entry of an upstream. */
	register(index: number, state: 'ready' | 'draining'): void {
		const upstream = this.upstreams[index]!;
		const sequence = (this.#sequences.get(upstream.id) ?? 0) + 1;
		this.#sequences.set(upstream.id, sequence);
		this.#site.register(upstream, this.proxies[index]!.address, sequence, state);
	}

	/** Log lines of all instances, including those that have ended. */
	get logs(): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return [...this.#endedLines, ...this.entries.flatMap(entry => entry.process.lines)];
	}

	/** Starts an ended instance again at the same addresses. */
	async restart(index: number): Promise<void> {
		this.#endedLines.push(...this.entries[index]!.process.lines);
		const entry = await this.#site.restartInstance(index);
		await this.callerLinks.connect(entry.settings.listen.callers);
		await entry.waitUntilReady();
	}

	/** Cuts the links of an instance to all upstreams but those that crash. */
	cut(index: number, cut: LinkCut): void {
		this.#site.cut(this.entries[index]!, cut, this.proxies);
	}

	/** Restores the links of an instance. */
	heal(index: number): void {
		this.#site.heal(this.entries[index]!, this.proxies);
	}

	/** Returns the endpoint through which one instance reaches the store, for faults that only this instance sees. */
	storeSeenBy(index: number): StoreStandIn {
		return this.#site.storeEndpointOf(index);
	}

	/** Restores the store from its oldest copy. */
	restoreStore(): void {
		this.#site.store.restore(this.#copies[0]!);
		this.#copies = [this.#site.store.copy()];
	}

	/** Asks instances for addresses in turn, starting with this one, until one returns any. */
	async resolve(first: number): Promise<readonly string[]> {
		const {addresses} = await this.lookUp(first);
		return addresses;
	}

	/** Like `resolve`, with the time to live of the addresses. */
	async lookUp(first: number): Promise<AddressList> {
		for (let index = 0; index < this.entries.length; index++) {
			try {
				const list = await this.entries[(first + index) % this.entries.length]!.lookUp();
				if (list.addresses.length > 0) {
					return list;
				}
			} catch {
				// The instance is starting or has ended, so the next one is asked.
			}
		}

		return {addresses: [], ttlMs: 0};
	}

	get #accounts() {
		const [flooded, modest] = limitedAccounts;
		return [
			...soakAccounts.map(({name, apiKeys}) => ({name, apiKeys: apiKeys.filter(key => !this.#isKeyRemoved || key !== removedKey)})),
			this.#isLimitLowered ? {...flooded, ...loweredLimit} : flooded,
			modest,
		];
	}

	async #addUpstream(index: number, workMs: number): Promise<void> {
		const upstream = await new UpstreamStandIn(`u${index}`, 'ledger', slots).start();
		upstream.workMs = workMs;
		this.upstreams.push(upstream);
		this.proxies.push(await new LinkProxy(upstream.address).start());
		this.register(index, 'ready');
	}
}
