/** Joins what two instances know of one suspect: the order and the number of joins don't matter. */
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

/** Order of trials: the one that started last counts, and of its reports the one that knows its end. */
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
 * Joins two views of one suspect.
 * @param left One view.
 * @param right Another view of the same fingerprint.
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
