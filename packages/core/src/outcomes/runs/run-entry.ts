/** The entries of a run table, one per ticket or idempotency key. */
import type {Outcome} from '../outcome.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';

/** One attempt of a caller to have a request run. */
export type RunRequest = {
	/** The ticket's sequence number or the idempotency key. */
	readonly id: string;
	readonly fingerprint: Fingerprint;
	/** Number of earlier attempts of the same request, if the caller counts them. */
	readonly previousAttempts?: number;
};

export type RunningEntry = {
	readonly fingerprint: Fingerprint;
	/** Highest attempt number that joined the run; infinity once an attempt came without a count. */
	throughAttempt: number;
};

export type EndedEntry = RunningEntry & {
	outcome: Outcome;
	/** Monotonic time after which the entry expires. */
	readonly keepUntilMs: number;
};
