/** Divides what a machine grants the process among what callers can make it hold. */
import {maximumAnswerMemoryBytes} from './answer-memory.js';

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
	/** The part of it that answers may take; blocks in which they were read take as much again for a while. */
	readonly answerBytes: number;
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

/** The program at rest, 75 MB, and what was read and dropped and is not freed yet: up to 75 MB while callers send as fast as they can. */
const ownBytes = 150_000_000;
/** Room for a few requests where the settings name a machine that is too small for the program itself. */
const minimumCallerBytes = 32_000_000;
/** Part of the memory for callers that answers may take. */
const answerRatio = 0.5;
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
		answerBytes: Math.min(maximumAnswerMemoryBytes, callerBytes * answerRatio),
		callerConnections: Math.min(share(descriptorRatios.callers), Math.floor(callerBytes * connectionMemoryRatio / connectionBytes)),
		runningRequests: share(descriptorRatios.running),
		directoryConnections: share(descriptorRatios.directory),
		peerConnections: share(descriptorRatios.peers),
		operatorConnections: share(descriptorRatios.operators),
	};
}
