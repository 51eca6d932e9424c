/** Decides on behalf of which client account a request is made, going by its `Authorization` headers (RFC 6750). */
import type {ClientAccount} from './client-account.js';
import type {AccountIndex} from './account-index.js';
import {digestKey, type KeyDigest} from './key-digest.js';

export type AuthenticationFault = 'no-credentials' | 'several-credentials' | 'malformed-credentials' | 'unknown-key';

export type Authentication =
	| {readonly type: 'authenticated'; readonly account: ClientAccount; readonly key: KeyDigest}
	| {readonly type: 'refused'; readonly reason: AuthenticationFault};

/** The scheme in any case, one or more spaces, and a `b64token`. */
const bearerPattern = /^bearer +([\w\-.~+/]+=*)$/i;

/** @param credentials - the values of all `Authorization` headers of the request */
export function authenticate(credentials: readonly string[], accounts: AccountIndex): Authentication {
	const [value] = credentials;
	if (value === undefined) {
		return {type: 'refused', reason: 'no-credentials'};
	}

	if (credentials.length > 1) {
		return {type: 'refused', reason: 'several-credentials'};
	}

	const token = bearerPattern.exec(value)?.[1];
	if (token === undefined) {
		return {type: 'refused', reason: 'malformed-credentials'};
	}

	const key = digestKey(token);
	const account = accounts.accountOf(key);
	return account === undefined ? {type: 'refused', reason: 'unknown-key'} : {type: 'authenticated', account, key};
}
