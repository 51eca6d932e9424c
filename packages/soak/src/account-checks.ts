/** Checks of client accounts, from what callers sent and upstreams received. */
import {maximumInWindow, type Check} from './checks.js';
import type {RunRecord} from './history.js';
import {limitedAccounts, loweredLimit} from './soak-site.js';

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

type Limit = {readonly ratePerS: number; readonly burst: number};

const limitWindowMs = 5000;
const limitExcess = 0.1;
const limitSlack = 20;
/** Time after which no window may exceed the bound of a limit that was lowered, if it begins later. */
const lowerLimitMs = 5000;
const limitedStatus = 429;

const allowedInWindow = ({ratePerS, burst}: Limit) => (((ratePerS * limitWindowMs / 1000) + burst) * (1 + limitExcess)) + limitSlack;

/** Returns when requests first ran. A request that ran again counts once. */
function firstRunsOf(ids: ReadonlySet<string>, runs: readonly RunRecord[]): readonly number[] {
	const first = new Map<string, number>();
	for (const {id, atMs} of runs.filter(run => ids.has(run.id))) {
		first.set(id, Math.min(first.get(id) ?? atMs, atMs));
	}

	return [...first.values()];
}

const accountLimitIsKept: Check = {
	name: 'an account with a rate limit runs no more than its bound in any 5 s, by all instances together',
	findBreaches({floods, runs, limitLoweredAtMs}) {
		const ids = new Set(floods.flatMap(({calls}) => calls.filter(({isFlooding}) => isFlooding).map(({record: {id}}) => id)));
		const times = firstRunsOf(ids, runs);
		return [
			{limit: limitedAccounts[0], most: maximumInWindow(times, limitWindowMs)},
			{limit: loweredLimit, most: maximumInWindow(times.filter(atMs => atMs > limitLoweredAtMs + lowerLimitMs), limitWindowMs)},
		].filter(({limit, most}) => most > allowedInWindow(limit)).map(({limit, most}) => `${most} requests in 5 s, ${allowedInWindow(limit)} allowed at ${limit.ratePerS} a second`);
	},
};

const belowItsLimitIsNotRefused: Check = {
	name: 'an account below its rate limit is never told that it is over it',
	findBreaches: ({floods}) => floods.flatMap(({calls}) => calls
		.filter(({record: {end}, isFlooding}) => !isFlooding && end.type === 'answered' && end.status === limitedStatus)
		.map(({record: {id, instance}}) => `${id} was refused at ${instance}`)),
};

export const accountChecks: readonly Check[] = [runsUnderItsAccount, removalIsRespected, accountLimitIsKept, belowItsLimitIsNotRefused];
