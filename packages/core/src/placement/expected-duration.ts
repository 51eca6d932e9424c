/** How long a request is expected to take at an upstream, from what is known of it. */
import type {LoadReport} from './load-report.js';

/** Slowness of an upstream of which nothing is known: a quarter of them run several times slower at any moment. */
export const unknownSlowness = 1.6;
/** Work takes about twice as long at an upstream that has just started. */
const warmupSlowness = 2;

/**
 * Upstreams slow down as their last slot is taken: requests that took it lasted 1.45 to 1.6 times as long at the median
 * as those that left one free (4 kinds of request, 7,100 requests of one day, three slots each).
 */
export const lastSlotSlowness = 1.5;

export type DurationInputs = {
	/** Work of the request at usual speed. */
	readonly workMs: number;
	readonly report: LoadReport | undefined;
	/** Own requests that run there and the report may not count yet. */
	readonly unreportedInFlight: number;
	readonly slots: number;
	readonly warmingUp: boolean;
};

/** Work at the speed of the moment, and the wait for a slot before it. */
export function expectedDurationMs({workMs, report, unreportedInFlight, slots, warmingUp}: DurationInputs): number {
	const slowness = Math.max(report?.slowness ?? unknownSlowness, warmingUp ? warmupSlowness : 0);
	const ahead = (report === undefined ? 0 : report.running + report.waiting) + unreportedInFlight;
	const roundsToWait = Math.max(0, ahead - slots + 1) / Math.max(1, slots);
	const isLastSlot = ahead + 1 >= slots;
	return workMs * slowness * (isLastSlot ? lastSlotSlowness : 1) * (1 + roundsToWait);
}
