/** What callers and upstreams saw of a run; the checks know nothing else. All times are of the monotonic clock. */

export type CallEnd =
	| {readonly type: 'answered'; readonly status: number; readonly requestId: string; readonly signature: string; readonly body: string}
	/** The connection ended without a whole answer. */
	| {readonly type: 'cut'}
	/** The caller left after its own timeout. */
	| {readonly type: 'left'}
	/** Nobody listened: nothing was sent. */
	| {readonly type: 'refused'};

export type CallRecord = {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly idempotent: boolean;
	/** Host of the instance. */
	readonly instance: string;
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly end: CallEnd;
};

/** An upstream began to run a request. */
export type RunRecord = {readonly id: string; readonly upstream: string; readonly atMs: number};

/** A time in which promises with a bound in time are not judged, and some time after it. */
export type Disturbance = {
	readonly kind:
		/** Killed or paused. */
		| 'instance'
		/** Told to stop and started again. */
		| 'restart'
		| 'store'
		| 'link'
		/** The process of the soak itself, with its callers and stand-ins, stood still. */
		| 'stall';
	/** Host of the instance that is disturbed; nothing where all may be. */
	readonly instance?: string;
	/** To which the disturbed link leads. */
	readonly upstream?: string;
	readonly fromMs: number;
	readonly untilMs: number;
};

export type DrainRecord = {readonly upstream: string; readonly atMs: number};

/** An upstream advertised a rate limit all this time, from the first whole answer that named it. */
export type LimitRecord = {readonly upstream: string; readonly requestsPerSecond: number; readonly fromMs: number; readonly untilMs: number};

/** From here on all that an upstream answers says that it leaves. */
export type LeavingRecord = {readonly upstream: string; readonly atMs: number};

/** A request reached an upstream, whether it ran there or not. */
export type ArrivalRecord = {readonly id: string; readonly upstream: string; readonly atMs: number};

/** An upstream turned a request away and asked its instance to back off. */
export type BackOffRecord = ArrivalRecord & {readonly durationMs: number};

export type StopRecord = {
	readonly instance: string;
	readonly exitCode: number | undefined;
	readonly wasKilled: boolean;
	/** What it wrote beside its log. */
	readonly errors: readonly string[];
};

export type History = {
	readonly calls: readonly CallRecord[];
	readonly runs: readonly RunRecord[];
	readonly disturbances: readonly Disturbance[];
	readonly drains: readonly DrainRecord[];
	readonly limits: readonly LimitRecord[];
	readonly leavings: readonly LeavingRecord[];
	readonly arrivals: readonly ArrivalRecord[];
	readonly backOffs: readonly BackOffRecord[];
	readonly stops: readonly StopRecord[];
	/** Calls after the last fault, when all is to be served again. */
	readonly afterwards: readonly CallRecord[];
};
