/** A client account: who callers act for, the keys that prove it, and what it may ask for. */
import type {ClientAccountId} from '../model/ids.js';
import type {KeyDigest} from './key-digest.js';

/** Requests that an account may have run by all instances together, as a token bucket. */
export type AccountRateLimit = {
	readonly requestsPerSecond: number;
	/** Requests that may run at once after a pause, beyond the rate. */
	readonly burst: number;
};

export type ClientAccount = {
	readonly id: ClientAccountId;
	/** Digests of the keys that are valid now; several while a key is being exchanged. */
	readonly keys: readonly KeyDigest[];
	/** Takes precedence over the priority of the route; 0 is the most urgent. */
	readonly priority?: number;
	/** Absent where the account has no limit. */
	readonly rateLimit?: AccountRateLimit;
};
