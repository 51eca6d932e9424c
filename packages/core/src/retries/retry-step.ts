/** The next step for a request. */
import type {UpstreamId} from '../model/ids.js';
import type {Outcome} from '../outcomes/outcome.js';

export type RetryStep =
	/** Start another attempt now, at an upstream not in `excluding`. Its token has already been taken from the budget. */
	| {readonly type: 'start'; readonly kind: 'retry' | 'hedge'; readonly excluding: readonly UpstreamId[]}
	/** Wait for the running attempts, and call `nextStep` again at `hedgeAtMs` (monotonic) where it is given. */
	| {readonly type: 'wait'; readonly hedgeAtMs?: number}
	/** End the request: cancel the attempts that are still running and report the outcome. */
	| {readonly type: 'finish'; readonly outcome: Outcome; readonly noRetry: boolean};
