/** Divides what a machine grants the process among what callers can make it hold. */

/** What the operator's settings say of the machine. */
export type Machine = {
	/** Memory beyond which the process is ended. */
	readonly memoryBytes: number;
	/** Open files and sockets. */
	readonly descriptors: number;
};

export type MachineLimits = {
	/** Memory of all that callers make an instance hold: heads and bodies of requests, and answers. */
	readonly callerBytes: number;
	/** The part of it that bodies of requests may take. */
	readonly bodyBytes: number;
	/** Connections of callers to the port for requests. */
	readonly callerConnections: number;
	/** Requests that run at a time, each of which may take a connection to an upstream. */
	readonly runningRequests: number;
	/** Connections to the port at which callers look addresses up. */
	readonly directoryConnections: number;
	/** Connections of other instances. */
	readonly peerConnections: number;
	/** Connections to each port of the platform and the operators. */
	readonly operatorConnections: number;
};

/** The program at rest, heads that have not arrived whole, and what was dropped and is not freed yet. */
const ownBytes = 120_000_000;
/** Room for a few requests where the settings name a machine that is too small for the program itself. */
const minimumCallerBytes = 32_000_000;
/** Room beside the bodies, so that requests without one are served while bodies fill theirs. */
const bytesBesideBodies = 32_000_000;
/** Room for a body of 64 MiB, the longest that operators allow, beside several of usual size. */
export const maximumHeldBodyBytes = 100_663_296;
/** Memory of a connection whose request has not arrived whole. */
export const connectionBytes = 49_152;
/** Connections may take this part of the memory at most. */
const connectionMemoryRatio = 0.5;
/** Files, listeners and the store. */
const ownDescriptors = 200;
const minimumConnections = 8;

/** Parts of the descriptors; what they leave is for idle connections to upstreams and for connections that are being closed. */
const descriptorRatios = {
	callers: 0.5, running: 0.25, directory: 0.08, peers: 0.08, operators: 0.01,
} as const;

export function limitsOf({memoryBytes, descriptors}: Machine): MachineLimits {
	const callerBytes = Math.max(minimumCallerBytes, memoryBytes - ownBytes);
	const sockets = Math.max(0, descriptors - ownDescriptors);
	const share = (ratio: number) => Math.max(minimumConnections, Math.floor(sockets * ratio));
	return {
		callerBytes,
		bodyBytes: Math.min(maximumHeldBodyBytes, Math.max(minimumCallerBytes / 2, callerBytes - bytesBesideBodies)),
		callerConnections: Math.min(share(descriptorRatios.callers), Math.floor(callerBytes * connectionMemoryRatio / connectionBytes)),
		runningRequests: share(descriptorRatios.running),
		directoryConnections: share(descriptorRatios.directory),
		peerConnections: share(descriptorRatios.peers),
		operatorConnections: share(descriptorRatios.operators),
	};
}
