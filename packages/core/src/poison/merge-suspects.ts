/** Merges two instances' records of a suspect. The merge is commutative, associative and idempotent. */
import {maximumCrashesPerSuspect} from './maximum-crashes-per-suspect.js';
import type {Crash, Suspect, Trial} from './suspect.js';

function compareCrashes(left: Crash, right: Crash): number {
	return left.atMs - right.atMs || left.upstream.localeCompare(right.upstream);
}

function mergeCrashes(crashes: readonly Crash[], clearedAtMs: number): Crash[] {
	const sorted = crashes.filter(crash => crash.atMs > clearedAtMs).sort(compareCrashes);
	const distinct = sorted.filter((crash, index) => index === 0 || compareCrashes(sorted[index - 1]!, crash) !== 0);
	return distinct.slice(-maximumCrashesPerSuspect);
}

/** Orders trials: the latest start wins, and among reports of the same trial the one with the earliest end, which is the actual end instead of the timeout. */
function compareTrials(left: Trial, right: Trial): number {
	return left.startedAtMs - right.startedAtMs
		|| left.instance.localeCompare(right.instance)
		|| right.untilMs - left.untilMs
		|| left.upstream.localeCompare(right.upstream);
}

function mergeTrials(left: Trial | undefined, right: Trial | undefined): Trial | undefined {
	if (left === undefined || right === undefined) {
		return left ?? right;
	}

	return compareTrials(left, right) >= 0 ? left : right;
}

/**
 * Merges two records of one suspect.
 * @param left One record.
 * @param right Another record with the same fingerprint.
 */
export function mergeSuspects(left: Suspect, right: Suspect): Suspect {
	const clearedAtMs = Math.max(left.clearedAtMs, right.clearedAtMs);
	const trial = mergeTrials(left.trial, right.trial);
	return {
		fingerprint: left.fingerprint,
		crashes: mergeCrashes([...left.crashes, ...right.crashes], clearedAtMs),
		clearedAtMs,
		...(trial === undefined ? {} : {trial}),
	};
}
