/** Intentionally broken builds whose client accounts don't work. */
import type {Mutation} from './mutations.js';
import type {ScheduledEvent} from './schedule.js';

const calls = 'packages/gateway/dist/features/calls';
const events: readonly ScheduledEvent[] = [{atMs: 500, event: {type: 'remove-key', forMs: 9500}}];
const floodEvents: readonly ScheduledEvent[] = [{atMs: 500, event: {type: 'flood-account', forMs: 9500}}];
const limitOf = 'limitOf: account => this.#limits.get(account),';
const limitsTask = 'packages/gateway/dist/features/account-limits/account-limits-task.js';
const limitIsKept = 'an account with a rate limit runs no more than its bound in any 5 s, by all instances together';
const scaledLimit = (factor: number) =>
	`limitOf: account => this.#limits.has(account) ? {requestsPerSecond: this.#limits.get(account).requestsPerSecond * ${factor}, burst: this.#limits.get(account).burst * ${factor}} : undefined,`;
const runsUnderItsAccount = 'a request runs only under the account of its key, and its key reaches no upstream';

export const accountMutations: readonly Mutation[] = [
	{
		name: 'key-passed-on',
		file: `${calls}/request-headers.js`,
		find: 'expectedUpstreamHeader, credentialsHeader, accountHeader,',
		replaceBy: 'expectedUpstreamHeader, accountHeader,',
		events,
		noticedBy: runsUnderItsAccount,
	},
	{
		name: 'account-forged-by-the-caller',
		file: `${calls}/request-headers.js`,
		find: 'credentialsHeader, accountHeader, withUnderscores(accountHeader)',
		replaceBy: 'credentialsHeader',
		events,
		noticedBy: runsUnderItsAccount,
	},
	{
		name: 'removed-keys-kept',
		file: 'packages/core/dist/accounts/account-index.js',
		find: 'accounts.flatMap(account => account.keys.map(key => [key, account]))',
		replaceBy: 'globalThis.keptKeys = [...globalThis.keptKeys ?? [], ...accounts.flatMap(account => account.keys.map(key => [key, account]))]',
		events,
		noticedBy: 'no request reaches an upstream later than the bound after its key was taken away',
	},
	{
		// 240 requests are allowed in a window and 284 may run; 341 are a fifth more.
		name: 'account-limit-a-fifth-over-its-bound',
		file: limitsTask,
		find: limitOf,
		replaceBy: scaledLimit(341 / 240),
		events: floodEvents,
		noticedBy: limitIsKept,
	},
	{
		name: 'account-limit-not-counted',
		file: 'packages/core/dist/account-limits/account-bucket.js',
		find: 'take(count) {',
		replaceBy: 'take(count) { return count;',
		events: floodEvents,
		noticedBy: limitIsKept,
	},
	{
		name: 'account-limit-cut-to-a-tenth',
		file: limitsTask,
		find: limitOf,
		replaceBy: scaledLimit(0.1),
		events: floodEvents,
		noticedBy: 'an account below its rate limit is never told that it is over it',
	},
];
