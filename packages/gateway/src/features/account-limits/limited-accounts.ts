/** Reports to operators which accounts are limited: counts by account, and a log line where a limitation begins and ends. */
import type {ClientAccountId} from '@cairnbank/core';
import type {ClientAccount} from '@cairnbank/core/accounts';
import type {Admittance} from '@cairnbank/core/account-limits';
import type {Context} from '../../kernel/context.js';

/** Accounts with the highest limits that have a metric of their own; the others share one. */
const maximumLabels = 20;
const otherLabel = 'other';
const results = ['granted', 'limited', 'unknown', 'given-back'] as const;
/** Time without a refusal after which an account counts as no longer limited. */
const quietMs = 5000;

type Limited = {readonly sinceMs: number; lastMs: number; refused: number};

export class LimitedAccounts {
	readonly #context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
	readonly #limited = new Map<ClientAccountId, Limited>();
	#labels: ReadonlySet<ClientAccountId> = new Set();

	constructor(context: Pick<Context, 'clock' | 'logger' | 'metrics'>) {
		this.#context = context;
	}

	applyAccounts(accounts: readonly ClientAccount[]): void {
		const byRate = accounts.toSorted((left, right) => rateOf(right) - rateOf(left));
		const labels = new Set(byRate.slice(0, maximumLabels).map(({id}) => id));
		for (const account of [...this.#labels].filter(account => !labels.has(account))) {
			for (const result of results) {
				this.#context.metrics.accountRequests.remove({account, result});
			}
		}

		this.#labels = labels;
	}

	record({id, rateLimit}: ClientAccount, {type}: Admittance): void {
		this.#count(id, type);
		if (type !== 'limited') {
			return;
		}

		const nowMs = this.#context.clock.monotonicMs();
		const known = this.#limited.get(id);
		if (known === undefined) {
			this.#limited.set(id, {sinceMs: nowMs, lastMs: nowMs, refused: 1});
			this.#context.logger.info('account limited', {account: id, requestsPerSecond: rateLimit?.requestsPerSecond, burst: rateLimit?.burst});
		} else {
			known.lastMs = nowMs;
			known.refused += 1;
		}
	}

	recordGivenBack(account: ClientAccountId): void {
		this.#count(account, 'given-back');
	}

	/** Reports accounts that are no longer limited; called regularly. */
	sweep(): void {
		const nowMs = this.#context.clock.monotonicMs();
		for (const [account, {sinceMs, lastMs, refused}] of this.#limited) {
			if (nowMs - lastMs >= quietMs) {
				this.#limited.delete(account);
				this.#context.logger.info('account no longer limited', {account, refused, durationMs: Math.round(lastMs - sinceMs)});
			}
		}
	}

	#count(account: ClientAccountId, result: typeof results[number]): void {
		this.#context.metrics.accountRequests.inc({account: this.#labels.has(account) ? account : otherLabel, result});
	}
}

function rateOf({rateLimit}: ClientAccount): number {
	return rateLimit?.requestsPerSecond ?? 0;
}
