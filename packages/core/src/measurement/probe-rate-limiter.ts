/** One instance's part of the health checks that the fleet may send. */

/** Part of the fleet's rate that is used, as instances never agree exactly on how many they are. */
const usedShare = 0.8;
const millisecondsPerSecond = 1000;

export type ProbeRateLimiterInputs = {
	/** Health checks that one upstream may get each second from the whole fleet. */
	readonly probesPerSecond: number;
	readonly upstreams: number;
	readonly instances: number;
};

/** Token bucket that holds one second's part at most; it starts empty, so that a restart brings no burst. */
export class ProbeRateLimiter {
	#tokens = 0;
	#atMs: number;

	constructor(nowMs: number) {
		this.#atMs = nowMs;
	}

	/** Whether a probe may be sent now; if so, it counts as sent. */
	tryTake(nowMs: number, {probesPerSecond, upstreams, instances}: ProbeRateLimiterInputs): boolean {
		const perSecond = probesPerSecond * upstreams * usedShare / Math.max(1, instances);
		const earned = (nowMs - this.#atMs) * perSecond / millisecondsPerSecond;
		this.#tokens = Math.min(perSecond, this.#tokens + earned);
		this.#atMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
