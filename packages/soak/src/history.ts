/** Records of what callers and upstreams observed in a run, the only input of the checks. All times are from the monotonic clock. */
import type {RunEnd} from '@cairnbank/platform/spec-support/upstream-stand-in';

export type CallEnd =
	| {readonly type: 'answered'; readonly status: number; readonly requestId: string; readonly signature: string; readonly body: string}
	/** The connection ended without a complete answer. */
	| {readonly type: 'cut'}
	/** The caller gave up at its own timeout. */
	| {readonly type: 'left'}
	/** The connection was refused, so nothing was sent. */
	| {readonly type: 'refused'};

/** A request whose last byte was sent on an open connection, and not behind an answer that announced the end of the connection. */
export type SentRecord = {
	/** Unique among the connections of a run. */
	readonly connection: string;
	readonly lastByteAtMs: number;
};

export type CallRecord = {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly idempotent: boolean;
	/** Host of the instance that the request was sent to. */
	readonly instance: string;
	readonly sentAtMs: number;
	/** Absent if it was not sent whole. */
	readonly sent?: SentRecord;
	/** Time of its complete answer, or of the end of its connection. */
	readonly endedAtMs: number;
	readonly end: CallEnd;
	/** Deadline that its headers state; that of all soak callers if absent. */
	readonly deadlineMs?: number;
	/** Time after which its caller leaves, whatever the instance does; absent if it waits past its deadline. */
	readonly leavesAfterMs?: number;
};

/** An upstream started to run a request. */
export type RunRecord = {
	readonly id: string;
	readonly upstream: string;
	readonly atMs: number;
	/** Absent if it has not ended. */
	readonly end?: RunEnd;
};

/** A period in which, and shortly after which, guarantees with a time bound are not checked. */
export type Disturbance = {
	readonly kind:
		/** Killed or paused. */
		| 'instance'
		/** Stopped with SIGTERM and started again. */
		| 'restart'
		| 'store'
		| 'link'
		/** The process of the soak, which contains the callers and the stand-ins, stalled. */
		| 'stall';
	/** Host of the disturbed instance. Absent if all instances may be affected. */
	readonly instance?: string;
	/** Id of the upstream behind the disturbed link. */
	readonly upstream?: string;
	readonly fromMs: number;
	readonly untilMs: number;
};

/** A period in which the process of the soak did not run, so that what callers observed is dated late. */
export type Lag = {readonly fromMs: number; readonly untilMs: number};

export type DrainRecord = {readonly upstream: string; readonly atMs: number};

/** A period in which an upstream advertised a rate limit, from the first complete answer with that limit. */
export type LimitRecord = {readonly upstream: string; readonly requestsPerSecond: number; readonly fromMs: number; readonly untilMs: number};

/** From this time on, all answers of an upstream say that it is leaving. */
export type LeavingRecord = {readonly upstream: string; readonly atMs: number};

/** A request reached an upstream, whether or not it ran there. */
export type ArrivalRecord = {readonly id: string; readonly upstream: string; readonly atMs: number};

/** An upstream rejected a request and asked the sending instance to back off. */
export type BackOffRecord = ArrivalRecord & {readonly durationMs: number};

/** One request that crashes each upstream that runs it, and a harmless one that was sent beside it. */
export type CrashingRequestRecord = {
	readonly calls: readonly CallRecord[];
	/** Its starts at upstreams. */
	readonly runs: readonly RunRecord[];
	readonly harmlessCalls: readonly CallRecord[];
};

/** A period in which some instances had no links to upstreams. */
export type CutRecord = {readonly instances: readonly string[]; readonly fromMs: number; readonly untilMs: number};

/** Requests with keys of client accounts, one of which was taken away meanwhile. */
export type AccountCalls = {
	readonly calls: ReadonlyArray<{readonly record: CallRecord; readonly account: string; readonly usesRemovedKey: boolean}>;
	readonly removedAtMs: number;
};

/** Requests with keys of two client accounts with a rate limit, one of which asks for much more than that. */
export type FloodCalls = {
	readonly calls: ReadonlyArray<{readonly record: CallRecord; readonly isFlooding: boolean}>;
};

/** A request that reached an upstream, with the accounts that its headers named and whether they contained a key. */
export type AccountArrivalRecord = ArrivalRecord & {readonly accounts: readonly string[]; readonly hasKey: boolean};

export type StopRecord = {
	readonly instance: string;
	readonly exitCode: number | undefined;
	readonly wasKilled: boolean;
	/** Time from SIGTERM after which the platform kills it. */
	readonly graceMs: number;
	readonly signalledAtMs: number;
	readonly endedAtMs: number;
	/** The last lines that it wrote outside its log. */
	readonly errors: readonly string[];
};

/** The most memory that an instance has taken by the end of a crowd of callers that do not behave. */
export type MemoryRecord = {readonly instance: string; readonly peakMegabytes: number};

export type History = {
	readonly calls: readonly CallRecord[];
	readonly runs: readonly RunRecord[];
	readonly disturbances: readonly Disturbance[];
	readonly lags: readonly Lag[];
	readonly drains: readonly DrainRecord[];
	readonly limits: readonly LimitRecord[];
	readonly leavings: readonly LeavingRecord[];
	readonly arrivals: readonly ArrivalRecord[];
	readonly backOffs: readonly BackOffRecord[];
	readonly stops: readonly StopRecord[];
	readonly cuts: readonly CutRecord[];
	readonly crashes: readonly CrashingRequestRecord[];
	readonly accounts: readonly AccountCalls[];
	readonly floods: readonly FloodCalls[];
	/** Time at which the limit of the flooded account was lowered; infinity if it was not. */
	readonly limitLoweredAtMs: number;
	readonly accountArrivals: readonly AccountArrivalRecord[];
	/** Calls after the last fault, all of which should succeed. */
	readonly afterwards: readonly CallRecord[];
	readonly memory: readonly MemoryRecord[];
};
