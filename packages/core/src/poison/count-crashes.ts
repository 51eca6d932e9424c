/** Counts the crashes that are attributed to a suspect. */
import type {Suspect} from './suspect.js';

/** Reports for the same upstream within this time are counted as one crash: reports of one crash by several instances are closer together than two crashes of one upstream. */
const sameCrashWindowMs = 1000;

/** Counts crashes of different upstreams, and repeated crashes of an upstream that was restarted in between. */
export function countCrashes(suspect: Suspect): number {
	const countedAtMs = new Map<string, number>();
	let count = 0;
	for (const {upstream, atMs} of suspect.crashes) {
		if (atMs - (countedAtMs.get(upstream) ?? Number.NEGATIVE_INFINITY) > sameCrashWindowMs) {
			countedAtMs.set(upstream, atMs);
			count += 1;
		}
	}

	return count;
}
