/** The decision how a caller's attempt with a ticket or idempotency key is handled. */
import type {Outcome} from '../outcome.js';

export type RunDecision =
	/** The table has marked the request as running: whoever called the table must run it and record its outcome. */
	| {readonly type: 'run'}
	/** The request is already running: wait for the outcome of that run. */
	| {readonly type: 'join'}
	/** The request must not run: report this outcome to the caller. */
	| {readonly type: 'end'; readonly outcome: Outcome}
	/** The table is sealed for hand-over and starts no more runs; the successor decides. */
	| {readonly type: 'sealed'};
