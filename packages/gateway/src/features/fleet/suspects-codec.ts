/** Encodes the crashes under requests for messages between instances. Times are sent as ages, as the clocks of instances differ. */
import {Buffer} from 'node:buffer';
import type {Fingerprint, UpstreamId} from '@cairnbank/core';
import {maximumCrashesPerRecord, type CrashRecord} from '@cairnbank/core/crash-record';
import * as v from 'valibot';

/** The identifier of a process consists of that of its upstream and its start. */
const maximumProcessIdLength = 200;
export const fingerprintPattern = /^[\w-]{22}$/;
/** Bytes of a message around its records, and room for ages that gain a digit until the message is sent. */
const reservedBytes = 100;

const ageSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Fingerprint, crashed upstreams each with the age of the crash, age of the latest successful run, age of the latest trial, number of trials. */
export const suspectSchema = v.tuple([
	v.pipe(v.string(), v.regex(fingerprintPattern)),
	v.pipe(v.array(v.tuple([v.pipe(v.string(), v.maxLength(maximumProcessIdLength)), ageSchema])), v.maxLength(maximumCrashesPerRecord)),
	v.nullable(ageSchema),
	v.nullable(ageSchema),
	ageSchema,
]);

export type EncodedSuspect = v.InferOutput<typeof suspectSchema>;

export function encodeSuspect({fingerprint, crashes, clearedAtMs, trial}: CrashRecord, nowMs: number): EncodedSuspect {
	const ageOf = (atMs: number) => Math.max(0, Math.round(nowMs - atMs));
	return [
		fingerprint,
		crashes.map(({upstream, atMs}) => [upstream, ageOf(atMs)]),
		clearedAtMs === undefined ? null : ageOf(clearedAtMs),
		trial === undefined ? null : ageOf(trial.startedAtMs),
		trial?.count ?? 0,
	];
}

export function decodeSuspect([fingerprint, crashes, clearedAgeMs, trialAgeMs, trials]: EncodedSuspect, nowMs: number): CrashRecord {
	return {
		fingerprint: fingerprint as Fingerprint,
		crashes: crashes.map(([upstream, ageMs]) => ({upstream: upstream as UpstreamId, atMs: nowMs - ageMs})),
		...(clearedAgeMs === null ? {} : {clearedAtMs: nowMs - clearedAgeMs}),
		...(trialAgeMs === null ? {} : {trial: {startedAtMs: nowMs - trialAgeMs, count: trials}}),
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
