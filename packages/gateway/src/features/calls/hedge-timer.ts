/** When a call looks for an early second attempt. */

/** What a look has shown. */
export type HedgeCheck = 'sent' | 'none-found' | 'not-needed';

/**
 * Looks after a time, and where no upstream has a slot to spare, again after twice as long: with one look alone a request that
 * hangs would wait for its deadline wherever the load of others was not known in time.
 */
export class HedgeTimer {
	readonly #look: () => Promise<HedgeCheck>;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(look: () => Promise<HedgeCheck>) {
		this.#look = look;
	}

	start(delayMs: number): void {
		this.#timer = setTimeout(async () => {
			const shown = await this.#look();
			if (shown === 'none-found' && !this.#isStopped) {
				this.start(delayMs * 2);
			}
		}, delayMs);
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}
}
