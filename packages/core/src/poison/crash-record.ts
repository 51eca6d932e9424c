/** The crashes of upstreams under one request, in the form in which instances exchange them. */
import type {Fingerprint} from '../model/fingerprint-schema.js';
import type {UpstreamId} from '../model/ids.js';

/** Maximum number of crashes kept for one request, the latest ones. Three decide; one more shows that a trial has failed. */
export const maximumCrashesPerRecord = 4;

/** A process that crashed while it ran the request. A process crashes once, so reports of it by several instances are one crash. */
export type ProcessCrash = {readonly upstream: UpstreamId; readonly atMs: number};

export type CrashTrial = {
	readonly startedAtMs: number;
	/** Number of trials so far, this one included. */
	readonly count: number;
};

/** All times are on the monotonic clock of the instance that holds the record. */
export type CrashRecord = {
	readonly fingerprint: Fingerprint;
	readonly crashes: readonly ProcessCrash[];
	/** Time of the latest successful run; crashes and trials up to then don't count. */
	readonly clearedAtMs?: number;
	/** The latest run that was allowed in spite of the crashes. */
	readonly trial?: CrashTrial;
};

function compareCrashes(left: ProcessCrash, right: ProcessCrash): number {
	return left.atMs - right.atMs || left.upstream.localeCompare(right.upstream);
}

/** Takes the earliest time of each crash: a report that was delayed on its way gives a later one. */
function mergeCrashes(crashes: readonly ProcessCrash[], clearedAtMs: number): readonly ProcessCrash[] {
	const byUpstream = new Map<UpstreamId, ProcessCrash>();
	for (const crash of crashes) {
		const known = byUpstream.get(crash.upstream);
		if (known === undefined || crash.atMs < known.atMs) {
			byUpstream.set(crash.upstream, crash);
		}
	}

	return [...byUpstream.values()].filter(({atMs}) => atMs > clearedAtMs).toSorted(compareCrashes).slice(-maximumCrashesPerRecord);
}

function laterTrial(left: CrashTrial | undefined, right: CrashTrial | undefined): CrashTrial | undefined {
	if (left === undefined || right === undefined) {
		return left ?? right;
	}

	return {startedAtMs: Math.max(left.startedAtMs, right.startedAtMs), count: Math.max(left.count, right.count)};
}

/** Merges two records of the same request. */
export function mergeCrashRecords(left: CrashRecord, right: CrashRecord): CrashRecord {
	const clearedAtMs = Math.max(left.clearedAtMs ?? Number.NEGATIVE_INFINITY, right.clearedAtMs ?? Number.NEGATIVE_INFINITY);
	const trial = laterTrial(left.trial, right.trial);
	return {
		fingerprint: left.fingerprint,
		crashes: mergeCrashes([...left.crashes, ...right.crashes], clearedAtMs),
		...(Number.isFinite(clearedAtMs) ? {clearedAtMs} : {}),
		...(trial === undefined || trial.startedAtMs <= clearedAtMs ? {} : {trial}),
	};
}

/** Time of the latest crash, trial or successful run. */
export function lastChangeMs({crashes, clearedAtMs = Number.NEGATIVE_INFINITY, trial}: CrashRecord): number {
	return Math.max(clearedAtMs, crashes.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY, trial?.startedAtMs ?? Number.NEGATIVE_INFINITY);
}
