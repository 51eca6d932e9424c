/** Encodes the crashes under requests for messages between instances. Times are sent as ages, as the clocks of instances differ. */
import {Buffer} from 'node:buffer';
import type {Fingerprint, UpstreamId} from '@cairnbank/core';
import {
	maximumBuildsPerRecord, maximumCrashesPerRecord, type BuildRuns, type CrashRecord,
} from '@cairnbank/core/crash-record';
import {unknownBuild, type UpstreamBuild} from '@cairnbank/core/upstream-build';
import * as v from 'valibot';

/** The identifier of a process consists of that of its upstream and its start. */
const maximumProcessIdLength = 200;
export const fingerprintPattern = /^[\w-]{22}$/;
const maximumBuildLength = 20;
/** Bytes of a message around its records, and room for ages that gain a digit until the message is sent. */
const reservedBytes = 100;

const ageSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

const buildSchema = v.pipe(v.string(), v.maxLength(maximumBuildLength));
/** Build, age of the latest successful run, age of the latest trial, number of trials, age of the latest error answer, number of these. */
const runsSchema = v.tuple([buildSchema, v.nullable(ageSchema), v.nullable(ageSchema), ageSchema, v.nullable(ageSchema), ageSchema]);

/**
 * Fingerprint, crashed upstreams each with the age of the crash and the build, age of the latest successful run, age of the latest
 * trial, number of trials, runs by build. Instances that don't tell builds apart read neither builds nor the last element.
 */
export const suspectSchema = v.tuple([
	v.pipe(v.string(), v.regex(fingerprintPattern)),
	v.pipe(
		v.array(v.tuple([v.pipe(v.string(), v.maxLength(maximumProcessIdLength)), ageSchema, v.optional(buildSchema, unknownBuild)])),
		v.maxLength(maximumCrashesPerRecord),
	),
	v.nullable(ageSchema),
	v.nullable(ageSchema),
	ageSchema,
	v.optional(v.pipe(v.array(runsSchema), v.maxLength(maximumBuildsPerRecord))),
]);

export type EncodedSuspect = v.InferOutput<typeof suspectSchema>;
type EncodedRuns = v.InferOutput<typeof runsSchema>;

export function encodeSuspect({fingerprint, crashes, runs}: CrashRecord, nowMs: number): EncodedSuspect {
	const clearedAtMs = runs.flatMap(each => each.clearedAtMs ?? []);
	const trials = runs.flatMap(({trial}) => trial ?? []);
	return [
		fingerprint,
		crashes.map(({upstream, build, atMs}) => [upstream, ageOf(atMs, nowMs), build]),
		clearedAtMs.length === 0 ? null : ageOf(Math.max(...clearedAtMs), nowMs),
		trials.length === 0 ? null : ageOf(Math.max(...trials.map(({startedAtMs}) => startedAtMs)), nowMs),
		Math.max(0, ...trials.map(({count}) => count)),
		runs.map(each => encodeRuns(each, nowMs)),
	];
}

export function decodeSuspect([fingerprint, crashes, clearedAgeMs, trialAgeMs, trials, runs]: EncodedSuspect, nowMs: number): CrashRecord {
	const ofUnknownBuild: EncodedRuns = [unknownBuild, clearedAgeMs, trialAgeMs, trials, null, 0];
	const hasRun = clearedAgeMs !== null || trialAgeMs !== null;
	return {
		fingerprint: fingerprint as Fingerprint,
		crashes: crashes.map(([upstream, ageMs, build]) => ({upstream: upstream as UpstreamId, build: build as UpstreamBuild, atMs: nowMs - ageMs})),
		runs: (runs ?? (hasRun ? [ofUnknownBuild] : [])).map(each => decodeRuns(each, nowMs)),
	};
}

function ageOf(atMs: number, nowMs: number): number {
	return Math.max(0, Math.round(nowMs - atMs));
}

function encodeRuns({
	build, clearedAtMs, trial, errors,
}: BuildRuns, nowMs: number): EncodedRuns {
	return [
		build,
		clearedAtMs === undefined ? null : ageOf(clearedAtMs, nowMs),
		trial === undefined ? null : ageOf(trial.startedAtMs, nowMs),
		trial?.count ?? 0,
		errors === undefined ? null : ageOf(errors.lastAtMs, nowMs),
		errors?.count ?? 0,
	];
}

function decodeRuns([build, clearedAgeMs, trialAgeMs, trials, errorAgeMs, errors]: EncodedRuns, nowMs: number): BuildRuns {
	return {
		build: build as UpstreamBuild,
		...(clearedAgeMs === null ? {} : {clearedAtMs: nowMs - clearedAgeMs}),
		...(trialAgeMs === null ? {} : {trial: {startedAtMs: nowMs - trialAgeMs, count: trials}}),
		...(errorAgeMs === null ? {} : {errors: {lastAtMs: nowMs - errorAgeMs, count: errors}}),
	};
}

/** Splits records into groups that each fit into a message of `maximumBytes`. */
export function splitSuspects(records: readonly CrashRecord[], maximumBytes: number): ReadonlyArray<readonly CrashRecord[]> {
	const groups: CrashRecord[][] = [];
	let remainingBytes = 0;
	for (const record of records) {
		const bytes = Buffer.byteLength(JSON.stringify(record));
		if (bytes > remainingBytes) {
			groups.push([]);
			remainingBytes = maximumBytes - reservedBytes;
		}

		groups.at(-1)!.push(record);
		remainingBytes -= bytes;
	}

	return groups;
}
