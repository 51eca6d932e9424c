/** Reads from a crash record what it shows: where the request is known to run well, and when it may be tried again. */
import type {
	BuildRuns, CrashRecord, CrashTrial, ErrorRuns, ProcessCrash,
} from './crash-record.js';
import {unknownBuild, type UpstreamBuild} from './upstream-build.js';

/** Upstreams crash for other reasons too, and then every request that they were running is suspected. */
export const crashesBeforeRefusal = 3;
/** Time from the last crash to the first trial. A request that is not the cause is refused for little longer than this. */
export const trialDelayMs = 1000;
/** Each trial without a result multiplies the time to the next one, as an undetected crash has no result either. */
const trialBackOffFactor = 4;
/** Error answers to trials, one after the other, after which the request runs again: a part of them may come from upstreams that fail requests without running them. */
const errorsBeforeRuns = 3;
/** Time from the crash in a failed trial to the next trial. */
const refusalMs = 60_000;

/** Returns the runs at this build; undefined if there was none. */
export function runsOf(record: CrashRecord | undefined, build: UpstreamBuild): BuildRuns | undefined {
	return record?.runs.find(each => each.build === build);
}

function crashesAt({crashes}: CrashRecord, build: UpstreamBuild): readonly ProcessCrash[] {
	return crashes.filter(crash => crash.build === build || crash.build === unknownBuild);
}

/** Returns whether the request has run at this build, well or with several error answers, and crashed none of its upstreams since. */
export function isProven(record: CrashRecord, build: UpstreamBuild): boolean {
	const clearedAtMs = runsOf(record, build)?.clearedAtMs;
	return (clearedAtMs !== undefined && crashesAt(record, build).length === 0) || (currentErrors(record, build)?.count ?? 0) >= errorsBeforeRuns;
}

/** Returns whether an upstream of this build has crashed under the request at this time or later. */
export function hasCrashedSince(record: CrashRecord, build: UpstreamBuild, sinceMs: number): boolean {
	return crashesAt(record, build).some(({atMs}) => atMs >= sinceMs);
}

/** Returns the error answers since the latest crash at this build. */
export function currentErrors(record: CrashRecord, build: UpstreamBuild): ErrorRuns | undefined {
	const errors = runsOf(record, build)?.errors;
	return errors === undefined || hasCrashedSince(record, build, errors.lastAtMs) ? undefined : errors;
}

/** Returns the latest trial, unless the request has run again since then. */
export function currentTrial(record: CrashRecord, build: UpstreamBuild): CrashTrial | undefined {
	const {trial, errors} = runsOf(record, build) ?? {};
	const hasRunAgain = errors !== undefined && errors.count >= errorsBeforeRuns && errors.lastAtMs >= (trial?.startedAtMs ?? Number.POSITIVE_INFINITY);
	return hasRunAgain ? undefined : trial;
}

/** Describes what decides about a request; equal for instances that know the same. */
export function summaryOf(record: CrashRecord): string {
	const proven = record.runs.map(({build}) => build).filter(build => isProven(record, build));
	return [record.fingerprint, Math.min(record.crashes.length, crashesBeforeRefusal), ...proven].join(' ');
}

/** Time from which the owner of the trial may run the request at an upstream of this build. */
export function nextTrialMs(record: CrashRecord, build: UpstreamBuild): number {
	const trial = currentTrial(record, build);
	const errors = currentErrors(record, build);
	const lastCrashMs = (crashesAt(record, build).at(-1) ?? record.crashes.at(-1)!).atMs;
	if (trial === undefined) {
		return lastCrashMs + trialDelayMs;
	}

	if (hasCrashedSince(record, build, trial.startedAtMs)) {
		return lastCrashMs + refusalMs;
	}

	return errors !== undefined && errors.lastAtMs >= trial.startedAtMs
		? errors.lastAtMs
		: trial.startedAtMs + Math.min(refusalMs, trialDelayMs * (trialBackOffFactor ** trial.count));
}
