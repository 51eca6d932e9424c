/** Counters of one upstream since its start or the last reset. */

export type UpstreamCounters = {
	/** Requests whose head arrived, without probes and health checks. */
	received: number;
	begun: number;
	answered: number;
	shed: number;
	expired: number;
	cancelled: number;
	failedFast: number;
	crashes: number;
	probes: number;
	healthChecks: number;
	/** Slot time spent on requests and on probes, in milliseconds. */
	workMs: number;
	probeMs: number;
	/** Number of requests received while draining, and time from the start of the drain to the last of them. */
	receivedDraining: number;
	latestReceivedDrainingMs: number;
	/** Highest number of simultaneous connections, as seen when requests arrived. */
	peakConnections: number;
};

export function zeroCounters(): UpstreamCounters {
	return {
		received: 0,
		begun: 0,
		answered: 0,
		shed: 0,
		expired: 0,
		cancelled: 0,
		failedFast: 0,
		crashes: 0,
		probes: 0,
		healthChecks: 0,
		workMs: 0,
		probeMs: 0,
		receivedDraining: 0,
		latestReceivedDrainingMs: 0,
		peakConnections: 0,
	};
}
