/** The crashes of upstreams under one request, in the form in which instances exchange them. */
import type {Fingerprint} from '../model/fingerprint-schema.js';
import type {UpstreamId} from '../model/ids.js';
import {unknownBuild, type UpstreamBuild} from './upstream-build.js';

/** Maximum number of crashes kept for one request, the latest ones. Three decide; one more shows that a trial has failed. */
export const maximumCrashesPerRecord = 4;
/** Maximum number of builds kept for one request, those with the latest runs. */
export const maximumBuildsPerRecord = 4;

/** A process that crashed while it ran the request. A process crashes once, so reports of it by several instances are one crash. */
export type ProcessCrash = {
	readonly upstream: UpstreamId;
	readonly build: UpstreamBuild;
	readonly atMs: number;
};

export type CrashTrial = {
	readonly startedAtMs: number;
	/** Number of trials so far, this one included. */
	readonly count: number;
};

/** Trials that ended with an error answer, one after the other and without a crash. */
export type ErrorRuns = {
	readonly lastAtMs: number;
	readonly count: number;
};

/** Runs of the request at upstreams of one build. */
export type BuildRuns = {
	readonly build: UpstreamBuild;
	/** Start of the latest run that ended well; crashes and trials at this build up to then don't count. */
	readonly clearedAtMs?: number;
	/** The latest run that was allowed in spite of the crashes. */
	readonly trial?: CrashTrial;
	/** Undefined if there was none since the latest successful run. */
	readonly errors?: ErrorRuns;
};

/** All times are on the monotonic clock of the instance that holds the record. */
export type CrashRecord = {
	readonly fingerprint: Fingerprint;
	/** In the order of time. */
	readonly crashes: readonly ProcessCrash[];
	/** At most one element for each build, in the order of builds. */
	readonly runs: readonly BuildRuns[];
};

function compareCrashes(left: ProcessCrash, right: ProcessCrash): number {
	return left.atMs - right.atMs || left.upstream.localeCompare(right.upstream);
}

/** Returns whether a run at one build shows something about the other; an older instance reports no builds. */
function concerns(left: UpstreamBuild, right: UpstreamBuild): boolean {
	return left === right || left === unknownBuild || right === unknownBuild;
}

/** Takes the earliest time of each crash: a report that was delayed on its way gives a later one. */
function mergeCrashes(crashes: readonly ProcessCrash[], runs: readonly BuildRuns[]): readonly ProcessCrash[] {
	const byUpstream = new Map<UpstreamId, ProcessCrash>();
	for (const crash of crashes) {
		const known = byUpstream.get(crash.upstream);
		const build = crash.build === unknownBuild ? known?.build ?? unknownBuild : crash.build;
		byUpstream.set(crash.upstream, {upstream: crash.upstream, build, atMs: Math.min(crash.atMs, known?.atMs ?? Number.POSITIVE_INFINITY)});
	}

	const counts = ({build, atMs}: ProcessCrash) => runs.every(run => !concerns(run.build, build) || atMs > (run.clearedAtMs ?? Number.NEGATIVE_INFINITY));
	return [...byUpstream.values()].filter(crash => counts(crash)).toSorted(compareCrashes).slice(-maximumCrashesPerRecord);
}

function laterTrial(left: CrashTrial | undefined, right: CrashTrial | undefined): CrashTrial | undefined {
	if (left === undefined || right === undefined) {
		return left ?? right;
	}

	return {startedAtMs: Math.max(left.startedAtMs, right.startedAtMs), count: Math.max(left.count, right.count)};
}

function laterErrors(left: ErrorRuns | undefined, right: ErrorRuns | undefined): ErrorRuns | undefined {
	if (left === undefined || right === undefined) {
		return left ?? right;
	}

	return left.lastAtMs > right.lastAtMs || (left.lastAtMs === right.lastAtMs && left.count > right.count) ? left : right;
}

function mergeRunsOfBuild(left: BuildRuns, right: BuildRuns): BuildRuns {
	const clearedAtMs = Math.max(left.clearedAtMs ?? Number.NEGATIVE_INFINITY, right.clearedAtMs ?? Number.NEGATIVE_INFINITY);
	const trial = laterTrial(left.trial, right.trial);
	const errors = laterErrors(left.errors, right.errors);
	return {
		build: left.build,
		...(Number.isFinite(clearedAtMs) ? {clearedAtMs} : {}),
		...(trial === undefined || trial.startedAtMs <= clearedAtMs ? {} : {trial}),
		...(errors === undefined || errors.lastAtMs <= clearedAtMs ? {} : {errors}),
	};
}

function lastRunMs({clearedAtMs = Number.NEGATIVE_INFINITY, trial, errors}: BuildRuns): number {
	return Math.max(clearedAtMs, trial?.startedAtMs ?? Number.NEGATIVE_INFINITY, errors?.lastAtMs ?? Number.NEGATIVE_INFINITY);
}

function mergeRuns(runs: readonly BuildRuns[]): readonly BuildRuns[] {
	const byBuild = new Map<UpstreamBuild, BuildRuns>();
	for (const each of runs) {
		byBuild.set(each.build, mergeRunsOfBuild(byBuild.get(each.build) ?? each, each));
	}

	return [...byBuild.values()]
		.toSorted((left, right) => lastRunMs(right) - lastRunMs(left) || left.build.localeCompare(right.build))
		.slice(0, maximumBuildsPerRecord)
		.toSorted((left, right) => left.build.localeCompare(right.build));
}

/** Merges two records of the same request. */
export function mergeCrashRecords(left: CrashRecord, right: CrashRecord): CrashRecord {
	const runs = mergeRuns([...left.runs, ...right.runs]);
	return {fingerprint: left.fingerprint, crashes: mergeCrashes([...left.crashes, ...right.crashes], runs), runs};
}

/** Time of the latest crash, trial or run that ended. */
export function lastChangeMs({crashes, runs}: CrashRecord): number {
	return Math.max(crashes.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY, ...runs.map(each => lastRunMs(each)));
}
