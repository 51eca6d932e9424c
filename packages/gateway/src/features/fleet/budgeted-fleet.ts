/** A simulated fleet of which each instance uses all of the slack of the retry budget that it may use, at every moment. */
import assert from 'node:assert/strict';
import type {ServiceId} from '@cairnbank/core';
import {RetryBudgets} from '../calls/retry-budgets.js';
import {retryWindowSeconds, SimulatedFleet, type SimulatedInstance} from './simulated-fleet.js';

const service = 'ledger' as ServiceId;
const stepMs = 100;
export const windowMs = retryWindowSeconds * 1000;
/** A part of it is left unused by rounding down. */
const slackPerInstance = 10;

export type BudgetedFleetOptions = {
	readonly isFirstStart: boolean;
	/** Whether all instances are up from the beginning. */
	readonly isUp: boolean;
};

export class BudgetedFleet {
	readonly #fleet: SimulatedFleet;
	readonly #size: number;
	readonly #isFirstStart: boolean;
	readonly #budgets = new Map<SimulatedInstance, RetryBudgets>();
	readonly #takenAtMs: number[] = [];

	constructor(size: number, {isFirstStart, isUp}: BudgetedFleetOptions) {
		this.#size = size;
		this.#isFirstStart = isFirstStart;
		this.#fleet = new SimulatedFleet({size, seed: size, isFirstStart});
		for (const instance of this.#fleet.instances) {
			instance.isUp = isUp;
			this.#enter(instance);
		}
	}

	get slack(): number {
		return this.#size * slackPerInstance;
	}

	get usedWithinLastWindow(): number {
		return this.#within(this.#fleet.clock.monotonicMs());
	}

	/** A new process in this place; the one before ends. */
	start(index: number): void {
		const isFirstStart = this.#isFirstStart && !this.#fleet.instances[index]!.isUp;
		this.#fleet.restart(index, isFirstStart);
		this.#enter(this.#fleet.instances[index]!);
	}

	cutOff(index: number): void {
		this.#fleet.instances[index]!.isCut = true;
	}

	/** Nothing passes between an availability zone and the others. */
	cutZone(zone: number): void {
		const hosts = this.#fleet.instances.map(({host}) => host);
		for (const near of this.#hostsOf(zone)) {
			for (const far of hosts.filter(host => !this.#hostsOf(zone).includes(host))) {
				this.#fleet.cutLinks.add(`${near} ${far}`);
				this.#fleet.cutLinks.add(`${far} ${near}`);
			}
		}
	}

	startZone(zone: number): void {
		const hosts = this.#hostsOf(zone);
		for (const [index, {host}] of this.#fleet.instances.entries()) {
			if (hosts.includes(host)) {
				this.start(index);
			}
		}
	}

	pass(durationMs: number): void {
		const {clock} = this.#fleet;
		for (const endMs = clock.monotonicMs() + durationMs; clock.monotonicMs() < endMs;) {
			this.#fleet.pass(Math.min(stepMs, endMs - clock.monotonicMs()));
			this.#takeAll();
		}
	}

	assertWithinSlack(): void {
		for (const endMs of new Set(this.#takenAtMs)) {
			const taken = this.#within(endMs);
			assert.ok(taken <= this.slack, `${taken} within a window that ends at ${endMs} ms, ${this.slack} allowed`);
		}
	}

	#hostsOf(zone: number): readonly string[] {
		return this.#fleet.instances.map(({host}) => host).filter(host => host.startsWith(`10.${zone}.`));
	}

	#within(endMs: number): number {
		return this.#takenAtMs.filter(atMs => atMs > endMs - windowMs && atMs <= endMs).length;
	}

	#enter(instance: SimulatedInstance): void {
		const budgets = new RetryBudgets({
			bounds: () => ({retryRatio: 0, retrySlack: this.slack, retryWindowSeconds}),
		});
		this.#budgets.set(instance, budgets);
	}

	#takeAll(): void {
		const nowMs = this.#fleet.clock.monotonicMs();
		for (const instance of this.#fleet.instances.filter(({isUp}) => isUp)) {
			const budget = this.#budgets.get(instance)!.forService(service);
			const {current: share} = instance.membership.shares;
			for (let grant = budget.tryTake(nowMs, share); grant !== undefined; grant = budget.tryTake(nowMs, share)) {
				grant.complete(nowMs);
				this.#takenAtMs.push(nowMs);
			}
		}
	}
}
