/** A simulated fleet in which each instance always uses its whole share of the slack of the retry budget. */
import assert from 'node:assert/strict';
import type {ServiceId} from '@cairnbank/core';
import {RetryBudgets} from '../calls/retry-budgets.js';
import {retryWindowSeconds, SimulatedFleet, type SimulatedInstance} from './simulated-fleet.js';

const service = 'ledger' as ServiceId;
const stepMs = 100;
export const windowMs = retryWindowSeconds * 1000;
/** Some of it stays unused, as shares are rounded down. */
const slackPerInstance = 10;

export type BudgetedFleetOptions = {
	readonly isFirstStart: boolean;
	/** Whether all instances are running from the start. */
	readonly isUp: boolean;
};

export class BudgetedFleet {
	readonly #fleet: SimulatedFleet;
	readonly #size: number;
	readonly #isFirstStart: boolean;
	readonly #budgets = new Map<SimulatedInstance, RetryBudgets>();
	readonly #grantedAtMs: number[] = [];

	constructor(size: number, {isFirstStart, isUp}: BudgetedFleetOptions) {
		this.#size = size;
		this.#isFirstStart = isFirstStart;
		this.#fleet = new SimulatedFleet({size, seed: size, isFirstStart});
		for (const instance of this.#fleet.instances) {
			instance.isUp = isUp;
			this.#addBudgets(instance);
		}
	}

	get slack(): number {
		return this.#size * slackPerInstance;
	}

	get usedWithinLastWindow(): number {
		return this.#countGrants(this.#fleet.clock.monotonicMs());
	}

	/** Starts a new process at this index in place of the previous one. */
	start(index: number): void {
		const isFirstStart = this.#isFirstStart && !this.#fleet.instances[index]!.isUp;
		this.#fleet.restart(index, isFirstStart);
		this.#addBudgets(this.#fleet.instances[index]!);
	}

	isolate(index: number): void {
		this.#fleet.instances[index]!.isIsolated = true;
	}

	/** Drops all datagrams between an availability zone and the others. */
	partitionZone(zone: number): void {
		const hosts = this.#fleet.instances.map(({host}) => host);
		for (const inside of this.#hostsOf(zone)) {
			for (const outside of hosts.filter(host => !this.#hostsOf(zone).includes(host))) {
				this.#fleet.cutLinks.add(`${inside} ${outside}`);
				this.#fleet.cutLinks.add(`${outside} ${inside}`);
			}
		}
	}

	restartZone(zone: number): void {
		const hosts = this.#hostsOf(zone);
		for (const [index, {host}] of this.#fleet.instances.entries()) {
			if (hosts.includes(host)) {
				this.start(index);
			}
		}
	}

	advance(durationMs: number): void {
		const {clock} = this.#fleet;
		for (const endMs = clock.monotonicMs() + durationMs; clock.monotonicMs() < endMs;) {
			this.#fleet.advance(Math.min(stepMs, endMs - clock.monotonicMs()));
			this.#takeAllGrants();
		}
	}

	assertWithinSlack(): void {
		for (const endMs of new Set(this.#grantedAtMs)) {
			const taken = this.#countGrants(endMs);
			assert.ok(taken <= this.slack, `${taken} within a window that ends at ${endMs} ms, ${this.slack} allowed`);
		}
	}

	#hostsOf(zone: number): readonly string[] {
		return this.#fleet.instances.map(({host}) => host).filter(host => host.startsWith(`10.${zone}.`));
	}

	#countGrants(endMs: number): number {
		return this.#grantedAtMs.filter(atMs => atMs > endMs - windowMs && atMs <= endMs).length;
	}

	#addBudgets(instance: SimulatedInstance): void {
		const budgets = new RetryBudgets({
			bounds: () => ({retryRatio: 0, retrySlack: this.slack, retryWindowSeconds}),
		});
		this.#budgets.set(instance, budgets);
	}

	#takeAllGrants(): void {
		const nowMs = this.#fleet.clock.monotonicMs();
		for (const instance of this.#fleet.instances.filter(({isUp}) => isUp)) {
			const budget = this.#budgets.get(instance)!.forService(service);
			const {current: share} = instance.membership.shares;
			for (let grant = budget.tryTake(nowMs, share); grant !== undefined; grant = budget.tryTake(nowMs, share)) {
				grant.complete(nowMs);
				this.#grantedAtMs.push(nowMs);
			}
		}
	}
}
