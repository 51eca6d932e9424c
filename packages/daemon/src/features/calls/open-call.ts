/** A call of a caller from its head until its outcome is determined, which the end of the time to drain can end in every state. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {unknown, type Outcome} from '@cairnbank/core/outcomes';
import {Cancellation} from './cancellation.js';

export class OpenCall {
	readonly cancellation = new Cancellation();
	readonly #expired: Promise<'expired'>;
	#resolveExpired!: (value: 'expired') => void;

	constructor() {
		this.#expired = new Promise(resolve => {
			this.#resolveExpired = resolve;
		});
	}

	/** @returns `expired` if the time to drain is over before the request has been read; it must not run then */
	async untilRead<Read>(reading: Promise<Read>): Promise<Read | 'expired'> {
		return Promise.race([reading, this.#expired]);
	}

	/** @returns the outcome of the run, or `unknown` if it has none once it was cancelled because the time to drain is over */
	async untilRun(run: Promise<Outcome>): Promise<Outcome> {
		return Promise.race([run, this.#unknownAfterExpiry()]);
	}

	/** Ends the call, as the time to drain is over. */
	expire(): void {
		this.#resolveExpired('expired');
		this.cancellation.cancel('stopping');
	}

	async #unknownAfterExpiry(): Promise<Outcome> {
		await this.#expired;
		await nextTurn();
		return unknown('stopping');
	}
}
