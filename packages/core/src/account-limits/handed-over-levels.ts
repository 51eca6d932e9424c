/** Keeps the tokens that instances had left of their accounts when they left, for the instance that decides after them. */
import type {ClientAccountId} from '../model/ids.js';
import type {LimiterEnvironment} from './limiter-environment.js';

type HandedOver = {readonly level: number; readonly atMs: number};

const millisecondsPerSecond = 1000;

export class HandedOverLevels {
	readonly #environment: Pick<LimiterEnvironment, 'bound' | 'clock' | 'limitOf'>;
	readonly #levels = new Map<ClientAccountId, HandedOver>();

	constructor(environment: Pick<LimiterEnvironment, 'bound' | 'clock' | 'limitOf'>) {
		this.#environment = environment;
	}

	record(account: ClientAccountId, level: number): void {
		const {clock, limitOf} = this.#environment;
		if (limitOf(account) !== undefined) {
			this.#levels.set(account, {level, atMs: clock.monotonicMs()});
		}
	}

	/**
	 * Removes a level. After a window it is out of date, as others may have decided since.
	 *
	 * @param share - part of the limit that was added since
	 * @returns tokens with those added since
	 */
	take(account: ClientAccountId, share: number): number | undefined {
		const {bound, clock, limitOf} = this.#environment;
		const handedOver = this.#levels.get(account);
		const limit = limitOf(account);
		this.#levels.delete(account);
		if (handedOver === undefined || limit === undefined) {
			return undefined;
		}

		const ageMs = clock.monotonicMs() - handedOver.atMs;
		return ageMs < bound().windowMs ? handedOver.level + (limit.requestsPerSecond * share * ageMs / millisecondsPerSecond) : undefined;
	}

	retain(isLimited: (account: ClientAccountId) => boolean): void {
		for (const account of this.#levels.keys()) {
			if (!isLimited(account)) {
				this.#levels.delete(account);
			}
		}
	}
}
