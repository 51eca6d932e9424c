/** What a run table knows about one ticket or key. */
import type {Outcome} from '../outcome.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';

/** One send of a request. */
export type RunRequest = {
	/** The ticket's sequence or the key. */
	readonly id: string;
	readonly fingerprint: Fingerprint;
	/** Sends of this request before this one, if the caller counts them. */
	readonly previousAttempts?: number;
};

export type RunningEntry = {
	readonly fingerprint: Fingerprint;
	/** Highest send that joined; infinite once a caller does not count its sends. */
	throughAttempt: number;
};

export type EndedEntry = RunningEntry & {
	outcome: Outcome;
	/** Monotonic time until which the entry is kept. */
	readonly keepUntilMs: number;
};
