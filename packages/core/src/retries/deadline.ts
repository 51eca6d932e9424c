/** Deadlines: carried as remaining whole milliseconds, shortened hop by hop, capped by the class. */
import {err, ok, type Result} from 'neverthrow';

/** Work with less time than this left is not started: the next hop could not even be told. */
export const minimumRemainingMs = 1;

const wholeMilliseconds = /^\d{1,9}$/;

export type DeadlineFault = {readonly type: 'malformed-deadline'; readonly text: string};

/**
 * Reads a carried deadline.
 * @param text Value of the header, if there was one.
 * @returns Remaining milliseconds, nothing where none was carried, or a fault.
 */
export function parseDeadline(text: string | undefined): Result<number | undefined, DeadlineFault> {
	if (text === undefined) {
		return ok(undefined);
	}

	return wholeMilliseconds.test(text) ? ok(Number(text)) : err({type: 'malformed-deadline', text});
}

/**
 * The moment at which a request's time is over.
 * @param receivedAtMs Monotonic time at which its first byte was read.
 * @param carriedMs Remaining time that the caller gave, if any.
 * @param classDeadlineMs The class's own limit.
 */
export function deadlineAtMs(receivedAtMs: number, carriedMs: number | undefined, classDeadlineMs: number): number {
	return receivedAtMs + Math.min(carriedMs ?? classDeadlineMs, classDeadlineMs);
}

/**
 * What is left for the next hop, in whole milliseconds.
 * @returns Nothing where work may not be started any more.
 */
export function remainingMs(deadline: number, nowMs: number): number | undefined {
	const remaining = Math.floor(deadline - nowMs);
	return remaining < minimumRemainingMs ? undefined : remaining;
}
