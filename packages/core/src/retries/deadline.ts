/** Deadlines: sent in a header as the remaining whole milliseconds, shortened at each hop, and capped by the request class. */
import {err, ok, type Result} from 'neverthrow';

/** Attempts with less time left than this are not started: the header cannot express it, as it holds whole milliseconds. */
export const minimumRemainingMs = 1;

const wholeMilliseconds = /^\d{1,9}$/;

export type DeadlineFault = {readonly type: 'malformed-deadline'; readonly text: string};

/**
 * Parses the deadline header.
 * @param text Value of the header, if there was one.
 * @returns Remaining milliseconds, `undefined` without a header, or a fault.
 */
export function parseDeadline(text: string | undefined): Result<number | undefined, DeadlineFault> {
	if (text === undefined) {
		return ok(undefined);
	}

	return wholeMilliseconds.test(text) ? ok(Number(text)) : err({type: 'malformed-deadline', text});
}

/**
 * Returns the monotonic time at which a request expires.
 * @param receivedAtMs Monotonic time at which its first byte was read.
 * @param requestedMs Remaining time that the caller sent, if any.
 * @param classDeadlineMs Limit of the request class.
 */
export function deadlineAtMs(receivedAtMs: number, requestedMs: number | undefined, classDeadlineMs: number): number {
	return receivedAtMs + Math.min(requestedMs ?? classDeadlineMs, classDeadlineMs);
}

/**
 * Returns the time left for the next hop, in whole milliseconds.
 * @returns `undefined` where an attempt may no longer be started.
 */
export function remainingMs(deadline: number, nowMs: number): number | undefined {
	const remaining = Math.floor(deadline - nowMs);
	return remaining < minimumRemainingMs ? undefined : remaining;
}
