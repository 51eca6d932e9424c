/** How one attempt at one upstream ended. */
import type {WholeAnswer} from './answer.js';
import type {NotRunReason} from './not-run-reason.js';
import type {UnknownReason} from './unknown-reason.js';

export type AttemptResult =
	/** The whole answer is here. */
	| {readonly type: 'answered'; readonly answer: WholeAnswer}
	/** The answer is larger than what is held; it was passed on as it came and it ended whole. */
	| {readonly type: 'streamed'; readonly statusCode: number}
	/** The answer broke off after its first bytes went to the caller. */
	| {readonly type: 'broken-off'}
	/** Provably not run: never sent, connection refused, or the upstream's explicit shed answer. */
	| {readonly type: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs?: number}
	/** Bytes left for the upstream and no whole answer came. */
	| {readonly type: 'unknown'; readonly reason: UnknownReason; readonly retryAfterMs?: number};
