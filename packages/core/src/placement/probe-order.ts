/**
 * Decides which upstreams are probed first when most reports have expired: those that cost no handshake, so that an instance with little
 * traffic keeps to few upstreams, and uses more of its subset as these are occupied, slow, full or failing.
 */

/** Random spread of the ranking, so that instances without any load reports don't all probe the same upstreams. */
const rankingSpread = 0.5;
/** Small in the core, so that an upstream that joins it is met within seconds. */
const noConnectionFactor = {core: 1.1, outside: 1 + rankingSpread} as const;
/** A probe would need a second connection, although the upstream reported its load when it was chosen for the running request. */
const occupiedFactor = 1 + rankingSpread;
/** Beyond the spread, so that connections outside of the core expire once the core is enough again. */
const outsideCoreFactor = 1 + rankingSpread;
/** Instances that should have each upstream in their core, so that the load is spread evenly over the upstreams. */
const instancesPerUpstream = 5;
/** Least size of the core: several slow upstreams at once are common, and more than these rarely are. */
const minimumCoreSize = 4;

/** State of an instance's connections to one upstream: all running requests, one or more idle, or none open. */
export type ConnectionState = 'idle' | 'occupied' | 'none';

export type ProbeCandidate = {
	/** Expected cost of a request there, from the last report, as far as that is still valid. */
	readonly costMs: number;
	readonly connection: ConnectionState;
	/** Whether the upstream is among the first of the instance's subset; see {@link coreSize}. */
	readonly isInCore: boolean;
};

/**
 * Returns by which value to rank the upstreams, least first. An upstream whose report shows that it is much slower or full comes after
 * others whatever its connection.
 *
 * @param random - from 0 to 1, drawn for each candidate
 */
export function probeRank({costMs, connection, isInCore}: ProbeCandidate, random: number): number {
	return costMs * (1 + (random * rankingSpread)) * (isInCore ? 1 : outsideCoreFactor) * connectionFactor(connection, isInCore);
}

/** Returns how many upstreams of its subset an instance uses as long as these suffice: fewer the more instances share the same upstreams. */
export function coreSize({instances, upstreams}: {readonly instances: number; readonly upstreams: number}): number {
	return Math.max(minimumCoreSize, Math.ceil(instancesPerUpstream * upstreams / Math.max(1, instances)));
}

function connectionFactor(connection: ConnectionState, isInCore: boolean): number {
	switch (connection) {
		case 'idle': {
			return 1;
		}

		case 'none': {
			return isInCore ? noConnectionFactor.core : noConnectionFactor.outside;
		}

		case 'occupied': {
			return occupiedFactor;
		}
	}
}
