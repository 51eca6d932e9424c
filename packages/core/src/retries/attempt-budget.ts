/** Budget for retries or hedges: a share of first attempts, and a small minimum rate for services with little traffic. */

const millisecondsPerSecond = 1000;

/** Decay over less time than this is too small to be worth computing. */
const decayStepMs = 50;

export type AttemptBudgetSettings = {
	/** Extra attempts as a share of first attempts. */
	readonly ratio: number;
	/** Extra attempts per second that are allowed even without first attempts; at most one is saved up. */
	readonly floorPerSecond: number;
	/** Time in which unused share tokens decay to 1/e, so that those saved up in a quiet hour don't allow a retry storm. */
	readonly decayTimeMs: number;
};

export const defaultRetryBudget = {floorPerSecond: 1, decayTimeMs: 5000} as const;
export const defaultHedgeBudget = {floorPerSecond: 0, decayTimeMs: 30_000} as const;

/** Token bucket whose size follows the recent rate of first attempts. */
export class AttemptBudget {
	readonly #settings: AttemptBudgetSettings;
	#shareTokens = 0;
	#shareAtMs: number;
	#floorTokens: number;
	#floorAtMs: number;

	/**
	 * @param settings Share, minimum rate and decay time.
	 * @param nowMs Monotonic time of creation.
	 */
	constructor(settings: AttemptBudgetSettings, nowMs: number) {
		this.#settings = settings;
		this.#shareAtMs = nowMs;
		this.#floorAtMs = nowMs;
		this.#floorTokens = settings.floorPerSecond > 0 ? 1 : 0;
	}

	/** Adds the share that one first attempt earns. */
	deposit(nowMs: number): void {
		this.#decay(nowMs);
		this.#shareTokens += this.#settings.ratio;
	}

	/** Takes a token for one extra attempt. @returns false where none is left */
	tryWithdraw(nowMs: number): boolean {
		this.#decay(nowMs);
		if (this.#shareTokens >= 1) {
			this.#shareTokens -= 1;
			return true;
		}

		this.#refillFloor(nowMs);
		if (this.#floorTokens < 1) {
			return false;
		}

		this.#floorTokens -= 1;
		return true;
	}

	#decay(nowMs: number): void {
		const elapsedMs = nowMs - this.#shareAtMs;
		if (elapsedMs < decayStepMs) {
			return;
		}

		this.#shareTokens *= Math.exp(-elapsedMs / this.#settings.decayTimeMs);
		this.#shareAtMs = nowMs;
	}

	#refillFloor(nowMs: number): void {
		const earned = (nowMs - this.#floorAtMs) * this.#settings.floorPerSecond / millisecondsPerSecond;
		this.#floorTokens = Math.min(1, this.#floorTokens + earned);
		this.#floorAtMs = nowMs;
	}
}
