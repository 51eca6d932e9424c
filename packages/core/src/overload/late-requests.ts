/**
 * Decides whether a request that can't be in time any more may have a slot during an overload. Answers the second half of a rush,
 * in which callers that return late would take the slots that others need to be in time.
 */
import {lastSlotSlowness} from '../placement/expected-duration.js';

/** A caller that has waited for this part of its time can't return after another wait of a third of the rest and still be served slowly. */
const lastChanceShare = 0.6;
/** Part of its expected duration after which a request may end already; work varies by about a third. */
const minimumDurationRatio = 0.6;

export type LateRequestInputs = {
	readonly nowMs: number;
	/** Expected duration at the best upstream found. */
	readonly expectedMs: number;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
	readonly isLightlyLoaded: boolean;
	/** When the caller asked for the first time. */
	readonly askedAtMs: number;
	readonly targetLatencyMs: number;
	readonly deadlineAtMs: number;
};

export type LateVerdict =
	/** Not late: judged as any other request. */
	| 'in-time'
	| 'send'
	/** May be served later, when there is room. */
	| 'wait'
	/** Can't be answered before its deadline. */
	| 'hopeless';

/** Callers wait for at most this part of the time that they have left before they return. */
const honouredShare = 1 / 3;

/**
 * Returns whether a refused request can come back after the moment that it missed. A caller whose longest wait is shorter than its
 * target latency returns into the same rush, so that a refusal in favour of others would be its last answer.
 */
export function canReturnLater({nowMs, deadlineAtMs, targetLatencyMs}: Pick<LateRequestInputs, 'nowMs' | 'deadlineAtMs' | 'targetLatencyMs'>): boolean {
	return (deadlineAtMs - nowMs) * honouredShare >= targetLatencyMs;
}

/** Returns the verdict on a request during an overload; outside of one, late requests are judged as any other. */
export function judgeLateRequest(inputs: LateRequestInputs): LateVerdict {
	const {nowMs, expectedMs, workMs, isLightlyLoaded, askedAtMs, targetLatencyMs, deadlineAtMs} = inputs;
	if (nowMs + (expectedMs * minimumDurationRatio) > deadlineAtMs) {
		return 'hopeless';
	}

	if (nowMs + workMs <= askedAtMs + targetLatencyMs) {
		return 'in-time';
	}

	const isLastChance = nowMs - askedAtMs >= (deadlineAtMs - askedAtMs) * lastChanceShare;
	const hasFreeSlot = expectedMs <= workMs * lastSlotSlowness;
	return isLightlyLoaded || (isLastChance && hasFreeSlot) ? 'send' : 'wait';
}
