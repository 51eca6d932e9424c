/** Caches the instance addresses that a caller uses: it requests them from an instance and refreshes them after their time to live. */
import {addressAnswerSchema} from '@cairnbank/core/membership';
import type {Caller} from '../harness/caller.js';

const addressesPath = '/.well-known/cairnbank/addresses';

/** The addresses of one caller. */
export class AddressCache {
	readonly #caller: Caller;
	#addresses: readonly string[];
	#expiresAtMs = 0;

	/** @param configured - addresses that the caller uses until the first answer */
	constructor(caller: Caller, configured: readonly string[]) {
		this.#caller = caller;
		this.#addresses = configured;
	}

	/** Returns the address to use; refreshes the addresses first if they have expired. */
	async current(): Promise<string> {
		if (performance.now() >= this.#expiresAtMs) {
			await this.#refresh();
		}

		return this.#addresses[0]!;
	}

	/** Rotates to the next address of the same answer, for a retry. */
	next(): string {
		this.#addresses = [...this.#addresses.slice(1), this.#addresses[0]!];
		return this.#addresses[0]!;
	}

	async #refresh(): Promise<void> {
		const requestedAtMs = performance.now();
		const response = await this.#caller.call({instance: this.#addresses[0]!, path: addressesPath});
		if (response.type !== 'answered' || response.statusCode !== 200) {
			this.next();
			return;
		}

		const answer = addressAnswerSchema.parse(JSON.parse(response.body));
		this.#addresses = answer.addresses.map(({address}) => address);
		this.#expiresAtMs = requestedAtMs + answer.ttlMs;
	}
}
