/** Checks a request that has waited against the accounts in force now. */
import type {AccountIndex} from './account-index.js';
import type {ClientAccount} from './client-account.js';
import type {KeyDigest} from './key-digest.js';

export type WaitingCaller = {
	/** Account that the caller has authenticated as; undefined if it needed none. */
	readonly account: ClientAccount | undefined;
	readonly accountKey: KeyDigest | undefined;
	/** Whether the route needs no account. */
	readonly isPublic: boolean;
};

/** `accounts-introduced`: the caller needed no account, but now needs one. */
export type RecheckResult = 'valid' | 'key-removed' | 'accounts-introduced';

/** A key that has moved to another account counts as removed. */
export function recheck({account, accountKey, isPublic}: WaitingCaller, accounts: AccountIndex | undefined): RecheckResult {
	if (accounts === undefined) {
		return 'valid';
	}

	if (account === undefined || accountKey === undefined) {
		return isPublic ? 'valid' : 'accounts-introduced';
	}

	return accounts.accountOf(accountKey)?.id === account.id ? 'valid' : 'key-removed';
}
