/** An attempt of a call together with the handle that cancels it. */
import type {Attempt, AttemptEnd} from '@cairnbank/core/retries';
import type {ChosenUpstream} from '../upstreams/chosen-upstream.js';
import type {UpstreamAttempt} from './upstream-attempt.js';

export type CancellableAttempt = Attempt & {
	readonly chosen: ChosenUpstream;
	upstreamAttempt?: UpstreamAttempt;
	end?: AttemptEnd;
};
