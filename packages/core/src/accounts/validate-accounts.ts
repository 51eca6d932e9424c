/** Checks the client accounts of a configuration before it takes effect. */
import type {ClientAccountId} from '../model/ids.js';
import type {ClientAccount} from './client-account.js';
import type {KeyDigest} from './key-digest.js';

/** Characters that an HTTP header value may contain; spaces only between others. */
const headerValuePattern = /^[\u0021-\u007E\u0080-\u00FF](?:[\u0020-\u007E\u0080-\u00FF]*[\u0021-\u007E\u0080-\u00FF])?$/;

/** @returns the reason that the accounts can't be used, for the log; undefined if they can */
export function findAccountFault(accounts: readonly ClientAccount[]): string | undefined {
	const ids = new Set<ClientAccountId>();
	const holders = new Map<KeyDigest, ClientAccountId>();
	for (const {id, keys} of accounts) {
		if (!headerValuePattern.test(id)) {
			return `the account name ${JSON.stringify(id)} can't be sent in a header`;
		}

		if (ids.has(id)) {
			return `two accounts have the name ${JSON.stringify(id)}`;
		}

		ids.add(id);
		for (const key of keys) {
			const holder = holders.get(key) ?? id;
			if (holder !== id) {
				return `the accounts ${JSON.stringify(holder)} and ${JSON.stringify(id)} have a key in common`;
			}

			holders.set(key, id);
		}
	}

	return undefined;
}
