/** One attempt of a request, as far as the retry decision needs it. */
import type {UpstreamId} from '../model/ids.js';
import type {AttemptResult} from '../outcomes/attempt-result.js';

/** Kind of an attempt, by the reason for its start. */
export type AttemptKind = 'first' | 'retry' | 'hedge';

/** End of an attempt: its result, and whether it may be retried. */
export type AttemptEnd = {
	readonly result: AttemptResult;
	/** Whether the answer was marked as not to be retried, because a daemon closer to the failure already retried or an upstream is overloaded. */
	readonly noRetry: boolean;
	/** Whether the upstream crashed while it ran the request, so that the request may be the cause. */
	readonly suspect: boolean;
};

/** An attempt that is running or has ended. */
export type Attempt = {
	readonly kind: AttemptKind;
	readonly upstream: UpstreamId;
	/** Monotonic time of its start. */
	readonly startedAtMs: number;
	/** Absent while the attempt is running. */
	readonly end?: AttemptEnd;
};
