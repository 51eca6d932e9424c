/** Whether an upstream takes one more request without slowing down. */
import type {LoadReport} from './load-report.js';

/** An upstream this much slower than usual still counts as running at its usual speed. */
const usualSlowness = 1.3;

export type LightLoadInputs = {
	readonly report: LoadReport | undefined;
	/** Own requests that run there and the report may not count yet. */
	readonly unreportedInFlight: number;
	readonly slots: number;
};

/**
 * It runs at its usual speed, and nothing else or with a free slot beside the one that is to be taken. Idle upstreams
 * of one slot count too: what is sent there puts an estimate right that is too high to be sent anywhere else.
 */
export function isLightlyLoaded({report, unreportedInFlight, slots}: LightLoadInputs): boolean {
	if (report === undefined || report.slowness > usualSlowness) {
		return false;
	}

	const ahead = report.running + report.waiting + unreportedInFlight;
	return ahead === 0 || ahead + 1 < slots;
}
