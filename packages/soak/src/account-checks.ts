/** Checks of client accounts, from what callers sent and upstreams received. */
import type {Check} from './checks.js';

/** Time after which no request with a key that was taken away may reach an upstream. */
const removalMs = 5000;

const runsUnderItsAccount: Check = {
	name: 'a request runs only under the account of its key, and its key reaches no upstream',
	findBreaches: ({accounts, accountArrivals}) => accounts.flatMap(({calls}) => {
		const accountsById = new Map(calls.map(({record, account}) => [record.id, account]));
		return accountArrivals
			.filter(({id, accounts: named, hasKey}) => accountsById.has(id) && (hasKey || named.join(' ') !== accountsById.get(id)))
			.map(({id, upstream, accounts: named, hasKey}) => `${id} of ${accountsById.get(id)} reached ${upstream} as "${named.join(' ')}" ${hasKey ? 'with' : 'without'} its key`);
	}),
};

const removalIsRespected: Check = {
	name: 'no request reaches an upstream later than the bound after its key was taken away',
	findBreaches: ({accounts, accountArrivals}) => accounts.flatMap(({calls, removedAtMs}) => {
		const ids = new Set(calls.filter(({usesRemovedKey}) => usesRemovedKey).map(({record: {id}}) => id));
		return accountArrivals
			.filter(({id, atMs}) => ids.has(id) && atMs > removedAtMs + removalMs)
			.map(({id, upstream, atMs}) => `${id} reached ${upstream} ${Math.round(atMs - removedAtMs)} ms after its key was taken away`);
	}),
};

export const accountChecks: readonly Check[] = [runsUnderItsAccount, removalIsRespected];
