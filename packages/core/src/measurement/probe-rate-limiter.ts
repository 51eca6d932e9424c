/** Limits the probes (health checks) that one instance sends to its part of the rate allowed for the whole fleet. */

/** Share of the fleet's rate that is used, because instances never agree exactly on their number. */
const safetyRatio = 0.8;
const millisecondsPerSecond = 1000;

export type ProbeRateLimiterInputs = {
	/** Probes per second that one upstream may receive from the whole fleet. */
	readonly probesPerSecond: number;
	readonly upstreams: number;
	readonly instances: number;
};

/** Token bucket that holds at most one second's tokens. It starts empty, so that a restart causes no burst. */
export class ProbeRateLimiter {
	#tokens = 0;
	#refilledAtMs: number;

	constructor(nowMs: number) {
		this.#refilledAtMs = nowMs;
	}

	/** Returns whether a probe may be sent now, and if so takes a token for it. */
	tryTake(nowMs: number, {probesPerSecond, upstreams, instances}: ProbeRateLimiterInputs): boolean {
		const perSecond = probesPerSecond * upstreams * safetyRatio / Math.max(1, instances);
		const earned = (nowMs - this.#refilledAtMs) * perSecond / millisecondsPerSecond;
		this.#tokens = Math.min(perSecond, this.#tokens + earned);
		this.#refilledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
