/** Schedules the hedge of a call, which is a second attempt while the first is still running. */

/** Result of trying to send a hedge. */
export type HedgeResult = 'sent' | 'none-found' | 'not-needed';

/**
 * Tries to hedge after a delay, and if no upstream has a free slot, again after twice the delay. With a single try, a request
 * that hangs would wait for its deadline whenever the load of the other upstreams was not known in time.
 */
export class HedgeTimer {
	readonly #tryHedge: () => Promise<HedgeResult>;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(tryHedge: () => Promise<HedgeResult>) {
		this.#tryHedge = tryHedge;
	}

	start(delayMs: number): void {
		this.#timer = setTimeout(async () => {
			const result = await this.#tryHedge();
			if (result === 'none-found' && !this.#isStopped) {
				this.start(delayMs * 2);
			}
		}, delayMs);
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}
}
