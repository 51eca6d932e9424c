/** Estimates how long a request will take at an upstream from its last load report and the requests sent there since. */
import type {LoadReport} from './load-report.js';
import {reportLifetimeMs} from './upstream-condition.js';

/** Work takes about twice as long at an upstream that has just started. */
const warmupSlowness = 2;

/** Factor by which a request that takes the last slot runs longer; the requests that already run there are not slowed down. */
export const lastSlotSlowness = 1.6;

export type DurationInputs = {
	/** Processing time of the request at usual speed. */
	readonly workMs: number;
	readonly report: LoadReport | undefined;
	/** The older a report is, the less weight it has; it has none from {@link reportLifetimeMs} on. */
	readonly reportAgeMs: number;
	/** Ratio of the expected duration to the work at an upstream without a report, from {@link TypicalDurations}. */
	readonly typicalRatio: number;
	/** Requests of this instance that run there and that the report may not count yet. */
	readonly unreportedInFlight: number;
	readonly slots: number;
	readonly warmingUp: boolean;
};

/** Returns the expected duration: the wait for a slot, and the work at the upstream's current speed. */
export function expectedDurationMs(inputs: DurationInputs): number {
	const {workMs, report, reportAgeMs, typicalRatio, unreportedInFlight, slots, warmingUp} = inputs;
	const minimumSlowness = warmingUp ? warmupSlowness : 0;
	const unknownMs = workMs * Math.max(typicalRatio, minimumSlowness) * (1 + waitRounds(unreportedInFlight, slots));
	if (report === undefined) {
		return unknownMs;
	}

	const ahead = report.running + report.waiting + unreportedInFlight;
	const slowness = Math.max(report.slowness, minimumSlowness) * (ahead + 1 >= slots ? lastSlotSlowness : 1);
	const reportedMs = workMs * slowness * (1 + waitRounds(ahead, slots));
	return reportedMs + ((unknownMs - reportedMs) * Math.min(1, reportAgeMs / reportLifetimeMs));
}

/** Returns how many times the work of one request a new request has to wait for a slot. */
function waitRounds(ahead: number, slots: number): number {
	return Math.max(0, ahead - slots + 1) / Math.max(1, slots);
}
