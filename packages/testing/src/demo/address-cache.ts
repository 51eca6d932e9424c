/** Which instance a caller uses: it asks the system, keeps the answer for its time to live, then asks again. */
import {addressAnswerSchema} from '@cairnbank/core/membership';
import type {Caller} from '../harness/caller.js';

const addressesPath = '/.well-known/cairnbank/addresses';

/** One caller's addresses. */
export class AddressCache {
	readonly #caller: Caller;
	#addresses: readonly string[];
	#expiresAtMs = 0;

	/** @param known - addresses that the caller was configured with */
	constructor(caller: Caller, known: readonly string[]) {
		this.#caller = caller;
		this.#addresses = known;
	}

	/** The address to use now; asks where the answer has run out. */
	async current(): Promise<string> {
		if (performance.now() >= this.#expiresAtMs) {
			await this.#refresh();
		}

		return this.#addresses[0]!;
	}

	/** Another address of the same answer, for a resend. */
	next(): string {
		this.#addresses = [...this.#addresses.slice(1), this.#addresses[0]!];
		return this.#addresses[0]!;
	}

	async #refresh(): Promise<void> {
		const askedAtMs = performance.now();
		const told = await this.#caller.call({instance: this.#addresses[0]!, path: addressesPath});
		if (told.type !== 'answered' || told.statusCode !== 200) {
			this.next();
			return;
		}

		const answer = addressAnswerSchema.parse(JSON.parse(told.body));
		this.#addresses = answer.addresses.map(({address}) => address);
		this.#expiresAtMs = askedAtMs + answer.ttlMs;
	}
}
