/** The result of one attempt at one upstream. */
import type {BufferedAnswer} from './answer.js';
import type {NotRunReason} from './not-run-reason.js';
import type {UnknownReason} from './unknown-reason.js';

export type AttemptResult =
	/** The complete response was received. */
	| {readonly type: 'answered'; readonly answer: BufferedAnswer}
	/** The response exceeded the buffer limit; it was streamed to the caller and completed. */
	| {readonly type: 'streamed'; readonly statusCode: number}
	/** The response was cut off after its first bytes had been sent to the caller. */
	| {readonly type: 'broken-off'}
	/** The request provably did not run: it was never sent, the connection was refused, or the upstream replied that it shed the request. */
	| {readonly type: 'not-run'; readonly reason: NotRunReason; readonly retryAfterMs?: number}
	/** Bytes were sent to the upstream, but no complete response was received. */
	| {readonly type: 'unknown'; readonly reason: UnknownReason; readonly retryAfterMs?: number};
