/** Keeps the order of instances for each account until the members change, as sorting hundreds for each request takes too long. */
import type {ClientAccountId} from '../model/ids.js';
import type {LimiterEnvironment} from './limiter-environment.js';
import {ownerOrder} from './owner-order.js';

/** Time for which an order is kept; an instance that ends meanwhile doesn't answer and is skipped. */
const orderLifetimeMs = 250;

/** Holds instances that count as lost too: others may reach them, and they may decide. */
export type AccountOrder = {
	/** Instances that come before this one. */
	readonly ahead: readonly string[];
	readonly behind: readonly string[];
};

type KeptOrder = AccountOrder & {
	/** The other instances from which it was made, with those that count as lost. */
	readonly others: readonly string[];
	checkedAtMs: number;
};

export class AccountOrders {
	readonly #environment: Pick<LimiterEnvironment, 'clock' | 'fleet' | 'host'>;
	readonly #orders = new Map<ClientAccountId, KeptOrder>();

	constructor(environment: Pick<LimiterEnvironment, 'clock' | 'fleet' | 'host'>) {
		this.#environment = environment;
	}

	of(account: ClientAccountId): AccountOrder {
		const {clock, fleet, host} = this.#environment;
		const nowMs = clock.monotonicMs();
		const known = this.#orders.get(account);
		if (known !== undefined && nowMs - known.checkedAtMs < orderLifetimeMs) {
			return known;
		}

		const {others: live, suspected} = fleet();
		const others = [...live, ...suspected];
		if (known !== undefined && isSame(known.others, others)) {
			known.checkedAtMs = nowMs;
			return known;
		}

		const hosts = ownerOrder(account, [...others, host]);
		const index = hosts.indexOf(host);
		const order = {
			others, ahead: hosts.slice(0, index), behind: hosts.slice(index + 1), checkedAtMs: nowMs,
		};
		this.#orders.set(account, order);
		return order;
	}

	/** The instance that comes first for each account, without those that are skipped. */
	heads(isSkipped: (host: string) => boolean): readonly string[] {
		const heads = [...this.#orders.values()].map(({ahead}) => ahead.find(host => !isSkipped(host)));
		return [...new Set(heads.filter(host => host !== undefined))];
	}

	retain(isLimited: (account: ClientAccountId) => boolean): void {
		for (const account of this.#orders.keys()) {
			if (!isLimited(account)) {
				this.#orders.delete(account);
			}
		}
	}
}

function isSame(left: readonly string[], right: readonly string[]): boolean {
	return left.length === right.length && left.every((host, index) => host === right[index]);
}
