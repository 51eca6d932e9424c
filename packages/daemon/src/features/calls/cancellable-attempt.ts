/** An attempt with the means to cancel it. */
import type {Attempt, AttemptEnd} from '@cairnbank/core/retries';
import type {ChosenUpstream} from '../upstreams/chosen-upstream.js';
import type {UpstreamAttempt} from './upstream-attempt.js';

export type CancellableAttempt = Attempt & {
	readonly chosen: ChosenUpstream;
	upstreamAttempt?: UpstreamAttempt;
	end?: AttemptEnd;
};
