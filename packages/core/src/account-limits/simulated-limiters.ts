/** Limiters of a fleet in simulated time, with messages that are delayed and lost, and views of the fleet that lag behind. */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {AvailabilityZoneId, ClientAccountId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {createRandomSource, type RandomSource} from '../model/random-source.js';
import {defaultAccountBound} from './account-bound.js';
import {AccountLimiter} from './account-limiter.js';

type Event = {readonly atMs: number; readonly action: () => void};
type Instance = {
	limiter: AccountLimiter; host: string; group: number; isRunning: boolean; startedAtMs: number; heardAtMs: number; pausedUntilMs: number; isLeaving: boolean;
	others: string[];
	suspected: string[];
};

export type Load = {readonly requestsPerSecond: number; readonly from: (random: RandomSource) => number};
export type Served = {asked: number; granted: number; limited: number; unknown: number; readonly grantedAtMs: number[]};

const tickMs = 100;
const settlingMs = 500;
const heardLimitMs = 800;
/** With up to this number of instances, one that isn't heard directly counts as lost; in a larger fleet others report that they hear it. */
const directViewMaximum = 25;
const suspectedMs = 20_000;
const simulatedZones = 3;
const account = 'account' as ClientAccountId;

export class SimulatedLimiters {
	readonly clock = new ManualClock();
	readonly instances: Instance[] = [];
	readonly served: Served = {
		asked: 0, granted: 0, limited: 0, unknown: 0, grantedAtMs: [],
	};

	lossRatio = 0;
	messages = 0;
	readonly #random: RandomSource;
	/** Whether an instance can't reach another one, by their indexes; both ways. */
	#isCut: ((left: number, right: number) => boolean) | undefined;
	/** By time; those of one millisecond in the order in which they were added. */
	readonly #events = new Map<number, Event[]>();

	constructor(size: number, public limit: AccountRateLimit, seed: number) {
		this.#random = createRandomSource(seed);
		for (let index = 0; index < size; index++) {
			this.instances.push(this.#create(index, -10_000));
		}

		for (const instance of this.instances) {
			instance.others = this.#hostsExcept(instance);
		}
	}

	/** Sends requests with random gaps for a time, and runs whatever happens meanwhile. */
	run(durationMs: number, {requestsPerSecond, from}: Load): void {
		const endMs = this.clock.monotonicMs() + durationMs;
		while (this.clock.monotonicMs() < endMs) {
			if (this.clock.monotonicMs() % tickMs === 0) {
				this.#tick();
			}

			for (const {action} of this.#takeDue()) {
				action();
			}

			for (let due = this.#poisson(requestsPerSecond / 1000); due > 0; due--) {
				this.#request(from(this.#random));
			}

			this.clock.advance(1);
		}
	}

	/** Ends an instance; the others learn of it within `noticedMs`. */
	kill(index: number, noticedMs = 2000): void {
		this.instances[index]!.isRunning = false;
		this.#spreadViews(noticedMs / 2, noticedMs);
	}

	/** Starts an instance anew, or one more; the others learn of it within `noticedMs`. */
	start(index: number, noticedMs = 700): void {
		this.instances[index]!.isRunning = false;
		this.instances[index] = this.#create(index, this.clock.monotonicMs());
		this.#spreadViews(0, noticedMs);
	}

	/** Stops an instance for a time; it handles messages and timers afterwards. */
	pause(index: number, durationMs: number): void {
		this.instances[index]!.pausedUntilMs = this.clock.monotonicMs() + durationMs;
	}

	/** Lets an instance leave; it no longer decides, and the others no longer ask it once they have learned of it. */
	leave(index: number, noticedMs = 100): void {
		this.instances[index]!.isLeaving = true;
		this.instances[index]!.limiter.leave();
		this.#spreadViews(0, noticedMs);
	}

	/** Divides the fleet; both sides notice within `noticedMs`. */
	divide(groupOf: (index: number) => number, noticedMs = 2000): void {
		for (const [index, instance] of this.instances.entries()) {
			instance.group = groupOf(index);
		}

		this.#spreadViews(noticedMs / 2, noticedMs);
	}

	/** Cuts links between pairs of instances. The others notice within `noticedMs` which ones they don't hear. */
	cutLinks(isCut: (left: number, right: number) => boolean, noticedMs = 1800): void {
		this.#isCut = (left, right) => isCut(left, right) || isCut(right, left);
		this.#spreadViews(noticedMs / 2, noticedMs);
	}

	restoreLinks(noticedMs = 800): void {
		this.#isCut = undefined;
		this.#spreadViews(0, noticedMs);
	}

	/** The largest number of requests granted in one window. */
	busiestWindow(): number {
		const {grantedAtMs} = this.served;
		let first = 0;
		let highest = 0;
		for (const [index, atMs] of grantedAtMs.entries()) {
			while (atMs - grantedAtMs[first]! > defaultAccountBound.windowMs) {
				first += 1;
			}

			highest = Math.max(highest, index - first + 1);
		}

		return highest;
	}

	indexOf(host: string): number {
		return this.instances.findIndex(instance => instance.host === host);
	}

	#create(index: number, startedAtMs: number): Instance {
		const host = `10.0.${Math.floor(index / 250)}.${index % 250}`;
		const instance: Instance = {
			limiter: undefined as unknown as AccountLimiter, host, group: 0, isRunning: true, startedAtMs, others: [], suspected: [], heardAtMs: startedAtMs, pausedUntilMs: 0, isLeaving: false,
		};
		instance.limiter = new AccountLimiter({
			clock: this.clock,
			random: this.#random,
			host,
			bound: () => defaultAccountBound,
			limitOf: () => this.limit,
			fleet: () => ({
				others: instance.others,
				suspected: instance.suspected,
				zoneOf: other => `${this.indexOf(other) % simulatedZones}` as AvailabilityZoneId,
				instances: this.instances.length,
				isKnown: this.clock.monotonicMs() - instance.startedAtMs >= settlingMs && !instance.isLeaving,
				isAlone: false,
				hasHeardOthers: this.clock.monotonicMs() - instance.heardAtMs < heardLimitMs,
			}),
			send: (message, to) => {
				const receiver = this.instances[this.indexOf(to)];
				this.messages += 1;
				if (receiver !== undefined && this.#random.next() >= this.lossRatio) {
					this.#at(1 + (this.#random.next() * 8), () => {
						if (this.instances.includes(receiver) && this.#areInTouch(instance, receiver)) {
							this.#whenAwake(receiver, () => {
								receiver.limiter.receive(message, host);
							});
						}
					});
				}
			},
			schedule: (delayMs, action) => {
				let isCancelled = false;
				this.#at(delayMs, () => {
					this.#whenAwake(instance, () => {
						if (!isCancelled && instance.isRunning) {
							action();
						}
					});
				});
				return () => {
					isCancelled = true;
				};
			},
		});
		return instance;
	}

	#request(index: number): void {
		const instance = this.instances[index]!;
		if (!instance.isRunning || this.#isPaused(instance)) {
			return;
		}

		this.served.asked += 1;
		instance.limiter.admit(account, this.limit, ({type}) => {
			this.served[type] += 1;
			if (type === 'granted') {
				this.served.grantedAtMs.push(this.clock.monotonicMs());
			}
		});
	}

	#tick(): void {
		for (const instance of this.instances.filter(instance => instance.isRunning && !this.#isPaused(instance))) {
			instance.limiter.tick();
			if (this.instances.some(other => other !== instance && this.#areInTouch(instance, other))) {
				instance.heardAtMs = this.clock.monotonicMs();
			}
		}
	}

	/** Each instance takes in who is in touch with it, at some time of its own. */
	#spreadViews(earliestMs: number, latestMs: number): void {
		for (const instance of this.instances) {
			this.#at(earliestMs + (this.#random.next() * (latestMs - earliestMs)), () => {
				this.#updateView(instance);
			});
		}
	}

	/** Instances that are no longer heard stay suspected for a time. Those that others report and that aren't heard here become suspected too. */
	#updateView(instance: Instance): void {
		const before = instance.others;
		instance.others = this.#hostsExcept(instance);
		const reporting = this.#isCut === undefined ? [] : this.instances.filter(other => other !== instance && this.#areInTouch(instance, other));
		const live = new Set(instance.others);
		const lost = new Set([...before, ...reporting.flatMap(({others}) => others)].filter(host => host !== instance.host && !live.has(host)));
		const suspected = instance.suspected.filter(host => !live.has(host));
		for (const host of [...lost].filter(host => !suspected.includes(host) && !this.instances[this.indexOf(host)]!.isLeaving)) {
			suspected.push(host);
			this.#at(suspectedMs, () => {
				instance.suspected = instance.suspected.filter(other => other !== host);
			});
		}

		instance.suspected = suspected;
	}

	#hostsExcept(instance: Instance): string[] {
		const isReported = this.#isCut !== undefined && this.instances.length > directViewMaximum;
		const isSeen = (other: Instance) => this.#areInTouch(instance, other) || (isReported && this.instances.some(third => this.#areInTouch(instance, third) && this.#areInTouch(third, other)));
		return this.instances.filter(other => other !== instance && !other.isLeaving && isSeen(other)).map(({host}) => host);
	}

	#isPaused({pausedUntilMs}: Instance): boolean {
		return this.clock.monotonicMs() < pausedUntilMs;
	}

	#whenAwake(instance: Instance, action: () => void): void {
		if (this.#isPaused(instance)) {
			this.#at(instance.pausedUntilMs - this.clock.monotonicMs(), action);
		} else {
			action();
		}
	}

	#areInTouch(left: Instance, right: Instance): boolean {
		return left.isRunning && right.isRunning && left.group === right.group
			&& this.#isCut?.(this.indexOf(left.host), this.indexOf(right.host)) !== true;
	}

	#at(delayMs: number, action: () => void): void {
		const atMs = Math.ceil(this.clock.monotonicMs() + Math.max(1, delayMs));
		const events = this.#events.get(atMs);
		if (events === undefined) {
			this.#events.set(atMs, [{atMs, action}]);
		} else {
			events.push({atMs, action});
		}
	}

	#takeDue(): readonly Event[] {
		const due = this.#events.get(this.clock.monotonicMs()) ?? [];
		this.#events.delete(this.clock.monotonicMs());
		return due;
	}

	#poisson(mean: number): number {
		const limit = Math.exp(-mean);
		let count = 0;
		for (let product = this.#random.next(); product > limit; product *= this.#random.next()) {
			count += 1;
		}

		return count;
	}
}
