/** The site that a soak plays on: instances of the real program, a store, and upstreams behind proxies of their own. */
import type {EntryProcess} from '@cairnbank/platform/spec-support/entry-process';
import {siteRepeatBound, type RepeatBound} from '@cairnbank/platform/spec-support/repeat-bound';
import {paymentRoute, route, Site} from '@cairnbank/platform/spec-support/site';
import type {StoreCopy, StoreStandIn} from '@cairnbank/platform/spec-support/store-stand-in';
import {UpstreamStandIn} from '@cairnbank/platform/spec-support/upstream-stand-in';
import {waitFor} from '@cairnbank/testing/harness';
import {LinkProxy} from './link-proxy.js';
import type {Schedule} from './schedule.js';

/** The store comes back from a copy of up to three times this age. */
const copyIntervalMs = 1500;
const maximumCopies = 3;
/** So many that a site without faults never refuses for lack of room. */
const slots = 50;
/** The window is shorter than in use, so that instances hold their shares again soon after a start; the slack is as much shorter. */
export const soakRetryBound: RepeatBound = {...siteRepeatBound, slack: 12, windowMs: 2000};
/** An answer of a large fleet names some of its instances only. */
const maximumExpectedAddresses = 8;

export class SoakSite {
	readonly upstreams: UpstreamStandIn[] = [];
	readonly proxies: LinkProxy[] = [];
	readonly #site: Site;
	readonly #sequences = new Map<string, number>();
	#copies: StoreCopy[] = [];
	#copyTimer: NodeJS.Timeout | undefined;
	#version = 1;

	/** @param program - path of the program that is played; the one that the build leaves, unless said otherwise */
	constructor(program?: string) {
		this.#site = new Site({logging: {level: 'info', sampleOneIn: 1}, repeatBound: soakRetryBound, ...(program === undefined ? {} : {program})});
	}

	get entries(): readonly EntryProcess[] {
		return this.#site.entries;
	}

	/**
	 * Resolves once all instances are ready and know each other.
	 *
	 * @param onFirstReady - called as the first instance is ready
	 */
	async start({instances, upstreams, workMs}: Pick<Schedule, 'instances' | 'upstreams' | 'workMs'>, onFirstReady: () => void): Promise<void> {
		await this.#site.start(0, 0);
		this.configure();
		for (let index = 0; index < upstreams; index++) {
			await this.#addUpstream(index, workMs);
		}

		for (let index = 0; index < instances; index++) {
			await this.#site.addEntry();
			if (index === 0) {
				onFirstReady();
			}
		}

		await waitFor('all instances to know each other', async () => {
			const offers = await Promise.all(this.entries.map(async entry => entry.resolve()));
			return offers.every(addresses => addresses.length >= Math.min(instances, maximumExpectedAddresses));
		});
		await Promise.all(this.entries.map(async entry => entry.holdsShare()));
		this.#copies = [this.#site.store.copy()];
		this.#copyTimer = setInterval(() => {
			this.#copies = [...this.#copies, this.#site.store.copy()].slice(-maximumCopies);
		}, copyIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#copyTimer);
		await this.#site.stop();
		for (const proxy of this.proxies) {
			proxy.stop();
		}

		await Promise.all(this.upstreams.map(async upstream => upstream.stop()));
	}

	/** Operators write the next version of the configuration. */
	configure(): void {
		this.#version += 1;
		this.#site.configure(`r${this.#version}`, [
			route('read', '/read/'),
			paymentRoute('pay', '/pay/'),
			route('new', `/new-${this.#version}/`),
		]);
	}

	/** An upstream writes its next entry. */
	register(index: number, state: 'ready' | 'draining'): void {
		const upstream = this.upstreams[index]!;
		const sequence = (this.#sequences.get(upstream.id) ?? 0) + 1;
		this.#sequences.set(upstream.id, sequence);
		this.#site.register(upstream, this.proxies[index]!.address, sequence, state);
	}

	/** Starts an instance again in its place. */
	async restart(index: number): Promise<void> {
		const entry = await this.#site.restartEntry(index);
		await entry.ready();
	}

	/** The store as one instance reaches it. */
	storeSeenBy(index: number): StoreStandIn {
		return this.#site.doorOf(index);
	}

	/** The store comes back from its oldest copy. */
	restoreStore(): void {
		this.#site.store.restore(this.#copies[0]!);
		this.#copies = [this.#site.store.copy()];
	}

	/** Asks instances in turn, from this one on, until one names addresses. */
	async resolve(first: number): Promise<readonly string[]> {
		for (let index = 0; index < this.entries.length; index++) {
			try {
				const addresses = await this.entries[(first + index) % this.entries.length]!.resolve();
				if (addresses.length > 0) {
					return addresses;
				}
			} catch {
				// It is starting, or has ended: the next one is asked.
			}
		}

		return [];
	}

	async #addUpstream(index: number, workMs: number): Promise<void> {
		const upstream = await new UpstreamStandIn(`u${index}`, 'ledger', slots).start();
		upstream.workMs = workMs;
		this.upstreams.push(upstream);
		this.proxies.push(await new LinkProxy(upstream.address).start());
		this.register(index, 'ready');
	}
}
