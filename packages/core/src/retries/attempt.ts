/** One attempt of a request, as the retry decision sees it. */
import type {UpstreamId} from '../model/ids.js';
import type {AttemptResult} from '../outcomes/attempt-result.js';

/** Why an attempt was started. */
export type AttemptKind = 'first' | 'retry' | 'hedge';

/** How an attempt ended, with what its upstream said about further retries. */
export type AttemptEnd = {
	readonly result: AttemptResult;
	/** The answer was marked as the end of a path that was already retried or overloaded. */
	readonly noRetry: boolean;
	/** The upstream crashed while it ran the request, so that the request may be the cause. */
	readonly suspect: boolean;
};

/** An attempt that runs, or has ended. */
export type Attempt = {
	readonly kind: AttemptKind;
	readonly upstream: UpstreamId;
	/** Monotonic time of its start. */
	readonly startedAtMs: number;
	/** Absent while it runs. */
	readonly end?: AttemptEnd;
};
