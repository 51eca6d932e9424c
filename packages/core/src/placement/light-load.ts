/** Decides whether an upstream can take one more request without slowing down. */
import type {LoadReport} from './load-report.js';

/** An upstream this much slower than usual still counts as running at its usual speed. */
const maximumUsualSlowness = 1.3;

export type LightLoadInputs = {
	readonly report: LoadReport | undefined;
	/** Requests of this instance that run there and that the report may not count yet. */
	readonly unreportedInFlight: number;
	readonly slots: number;
};

/**
 * Returns whether an upstream runs at its usual speed and is either idle or has a free slot besides the one that the new request
 * takes. Idle upstreams with one slot count too: if the estimate for a route is too high for its requests to be sent anywhere else,
 * a request sent there corrects it.
 */
export function isLightlyLoaded({report, unreportedInFlight, slots}: LightLoadInputs): boolean {
	if (report === undefined || report.slowness > maximumUsualSlowness) {
		return false;
	}

	const ahead = report.running + report.waiting + unreportedInFlight;
	return ahead === 0 || ahead + 1 < slots;
}
