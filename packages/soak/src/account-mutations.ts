/** Intentionally broken builds whose client accounts don't work. */
import type {Mutation} from './mutations.js';
import type {ScheduledEvent} from './schedule.js';

const calls = 'packages/gateway/dist/features/calls';
const events: readonly ScheduledEvent[] = [{atMs: 500, event: {type: 'remove-key', forMs: 9500}}];
const runsUnderItsAccount = 'a request runs only under the account of its key, and its key reaches no upstream';

export const accountMutations: readonly Mutation[] = [
	{
		name: 'key-passed-on',
		file: `${calls}/callers-task.js`,
		find: 'expectedUpstreamHeader, credentialsHeader, accountHeader,',
		replaceBy: 'expectedUpstreamHeader, accountHeader,',
		events,
		noticedBy: runsUnderItsAccount,
	},
	{
		name: 'account-forged-by-the-caller',
		file: `${calls}/callers-task.js`,
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
];
