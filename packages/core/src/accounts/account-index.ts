/** Finds the client account that a key belongs to. */
import type {ClientAccount} from './client-account.js';
import type {KeyDigest} from './key-digest.js';

/** Lookup index over the accounts of one configuration, built once when that takes effect. */
export class AccountIndex {
	readonly #accountsByKey: ReadonlyMap<KeyDigest, ClientAccount>;

	constructor(accounts: readonly ClientAccount[]) {
		this.#accountsByKey = new Map(accounts.flatMap(account => account.keys.map(key => [key, account] as const)));
	}

	/** Looks up only digests, so that the time it takes says nothing about the keys that exist. */
	accountOf(key: KeyDigest): ClientAccount | undefined {
		return this.#accountsByKey.get(key);
	}
}
