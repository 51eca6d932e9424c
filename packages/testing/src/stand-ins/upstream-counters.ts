/** What one upstream saw since its start. */

export type UpstreamCounters = {
	/** Requests whose head arrived, probes and health checks apart. */
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
	/** Slot time spent on work and on probes. */
	workMs: number;
	probeMs: number;
	/** Requests received while draining, and how long after the drain began the last one came. */
	receivedDraining: number;
	latestReceivedDrainingMs: number;
	/** Greatest number of connections open at once. */
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
