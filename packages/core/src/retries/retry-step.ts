/** What to do next for a request. */
import type {UpstreamId} from '../model/ids.js';
import type {Outcome} from '../outcomes/outcome.js';

export type RetryStep =
	/** Start one more attempt now, at none of the named upstreams. Its token is already taken. */
	| {readonly type: 'start'; readonly kind: 'retry' | 'hedge'; readonly excluding: readonly UpstreamId[]}
	/** Await the running attempts, and ask again at `hedgeAtMs` (monotonic) where it is given. */
	| {readonly type: 'wait'; readonly hedgeAtMs?: number}
	/** The request is over: cancel what still runs and tell the outcome. */
	| {readonly type: 'finish'; readonly outcome: Outcome; readonly noRetry: boolean};
