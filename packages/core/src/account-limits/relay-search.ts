/**
 * Finds out whether an instance that doesn't answer here is reached by others, as in SWIM's indirect probes: a link between two
 * instances may be cut while a third one reaches both. That one then relays the messages between them.
 */
import type {LimiterEnvironment} from './limiter-environment.js';
import type {MessageCalls} from './message-calls.js';
import type {MessagePaths} from './message-paths.js';

/** An instance that is asked checks the others for 80 ms before it says that they don't answer. Several are asked, so that none is asked twice. */
const probeTiming = {intervalMs: 110, attempts: 1, isDirect: true};
const checkTiming = {intervalMs: 40, attempts: 2, isDirect: true};
/** Instances that are asked of each availability zone, as a cut mostly affects whole zones. */
const relaysPerZone = 3;
const maximumRelays = 9;
/** Number of instances that one message asks for; it has to fit into a datagram. */
const hostsPerProbe = 16;
/** Time for which the result of a check or a search is used again. An instance that answers nobody has mostly ended. */
const reachedLifetimeMs = 250;
const unreachedLifetimeMs = 1000;
/** Delay that lets the searches of one moment share their messages. */
const batchMs = 1;

type OnFound = (isFound: boolean) => void;
type OnChecked = (isReached: boolean) => void;
type Check = {waiting: OnChecked[]; readonly startedAtMs: number; isReached: boolean | undefined};

export class RelaySearch {
	readonly #environment: Pick<LimiterEnvironment, 'clock' | 'fleet' | 'random' | 'schedule'>;
	readonly #calls: MessageCalls;
	readonly #paths: MessagePaths;
	readonly #isSilent: (host: string) => boolean;
	/** Instances that are searched for. */
	readonly #searches = new Map<string, OnFound[]>();
	/** Those of them that are in no message yet. */
	#batch: string[] = [];
	readonly #failedAtMs = new Map<string, number>();
	/** Checks for others, by host. */
	readonly #checks = new Map<string, Check>();

	/** @param isSilent - whether an instance doesn't answer, so that it is of no use as a relay */
	constructor(environment: Pick<LimiterEnvironment, 'clock' | 'fleet' | 'random' | 'schedule'>, calls: MessageCalls, paths: MessagePaths, isSilent: (host: string) => boolean) {
		this.#environment = environment;
		this.#calls = calls;
		this.#paths = paths;
		this.#isSilent = isSilent;
	}

	/** Searches for a relay to an instance, which is used from then on. @param done - called with whether there is one */
	begin(host: string, done: OnFound): void {
		if (this.#isWithin(unreachedLifetimeMs, this.#failedAtMs.get(host))) {
			done(false);
			return;
		}

		const waiting = this.#searches.get(host);
		if (waiting !== undefined) {
			waiting.push(done);
			return;
		}

		this.#searches.set(host, [done]);
		if (this.#batch.push(host) === 1) {
			this.#environment.schedule(batchMs, () => {
				const hosts = this.#batch;
				this.#batch = [];
				for (let start = 0; start < hosts.length; start += hostsPerProbe) {
					this.#probe(hosts.slice(start, start + hostsPerProbe));
				}
			});
		}
	}

	/** Checks instances for another one. @param done - called with those that answer here */
	check(hosts: readonly string[], done: (reached: readonly string[]) => void): void {
		const {others, suspected} = this.#environment.fleet();
		const known = hosts.filter(host => others.includes(host) || suspected.includes(host));
		const reached: string[] = [];
		let pending = known.length;
		if (pending === 0) {
			done(reached);
		}

		const add = (host: string, isReached: boolean) => {
			reached.push(...(isReached ? [host] : []));
			pending -= 1;
			if (pending === 0) {
				done(reached);
			}
		};

		for (const host of known) {
			this.#check(host, isReached => {
				add(host, isReached);
			});
		}
	}

	/** Forgets results that are out of date. */
	sweep(): void {
		for (const [host, atMs] of this.#failedAtMs) {
			if (!this.#isWithin(unreachedLifetimeMs, atMs)) {
				this.#failedAtMs.delete(host);
			}
		}

		for (const [host, {startedAtMs, isReached}] of this.#checks) {
			if (isReached !== undefined && !this.#isWithin(unreachedLifetimeMs, startedAtMs)) {
				this.#checks.delete(host);
			}
		}
	}

	#probe(hosts: readonly string[]): void {
		const relays = this.#chooseRelays(hosts);
		let pending = relays.length;
		const finishRest = () => {
			for (const host of hosts) {
				this.#finish(host, undefined);
			}
		};

		const take = (relay: string, reached: readonly string[]) => {
			for (const host of reached) {
				this.#finish(host, relay);
			}

			pending -= 1;
			if (pending === 0) {
				finishRest();
			}
		};

		if (pending === 0) {
			finishRest();
		}

		for (const relay of relays) {
			this.#calls.call(relay, sequence => ({type: 'limit-probe', sequence, hosts}), probeTiming, reply => {
				take(relay, reply?.type === 'limit-probed' ? reply.reached : []);
			});
		}
	}

	#finish(host: string, relay: string | undefined): void {
		const waiting = this.#searches.get(host) ?? [];
		this.#searches.delete(host);
		if (waiting.length === 0) {
			return;
		}

		if (relay === undefined) {
			this.#failedAtMs.set(host, this.#environment.clock.monotonicMs());
		} else {
			this.#paths.useRelay(host, relay);
		}

		for (const done of waiting) {
			done(relay !== undefined);
		}
	}

	#check(host: string, done: OnChecked): void {
		const known = this.#checks.get(host);
		if (known !== undefined && known.isReached === undefined) {
			known.waiting.push(done);
			return;
		}

		if (known?.isReached !== undefined && this.#isWithin(known.isReached ? reachedLifetimeMs : unreachedLifetimeMs, known.startedAtMs)) {
			done(known.isReached);
			return;
		}

		const check: Check = {waiting: [done], startedAtMs: this.#environment.clock.monotonicMs(), isReached: undefined};
		this.#checks.set(host, check);
		this.#calls.call(host, sequence => ({type: 'limit-check', sequence}), checkTiming, reply => {
			check.isReached = reply !== undefined;
			for (const each of check.waiting.splice(0)) {
				each(check.isReached);
			}
		});
	}

	/** Chooses instances at random, of each availability zone the same number as far as there are so many. */
	#chooseRelays(hosts: readonly string[]): readonly string[] {
		const {random, fleet} = this.#environment;
		const {others, zoneOf} = fleet();
		const candidates = others
			.filter(host => !hosts.includes(host) && !this.#isSilent(host) && !this.#paths.hasRelay(host))
			.map(host => ({host, order: random.next()}))
			.sort((left, right) => left.order - right.order);
		const countByZone = new Map<string | undefined, number>();
		const ranked = candidates.map(({host}) => {
			const zone = zoneOf(host);
			const rank = countByZone.get(zone) ?? 0;
			countByZone.set(zone, rank + 1);
			return {host, rank};
		});
		return ranked
			.filter(({rank}) => rank < relaysPerZone)
			.sort((left, right) => left.rank - right.rank)
			.slice(0, maximumRelays)
			.map(({host}) => host);
	}

	#isWithin(lifetimeMs: number, atMs: number | undefined): boolean {
		return atMs !== undefined && this.#environment.clock.monotonicMs() - atMs < lifetimeMs;
	}
}
