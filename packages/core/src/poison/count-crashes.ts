/** How many crashes a suspect is blamed for. */
import type {Suspect} from './suspect.js';

/** Reports of one crash by several instances lie closer together than two crashes of one upstream. */
const sameCrashMs = 1000;

/** Crashes of distinct upstreams, or of one that came back and crashed again. */
export function countCrashes(suspect: Suspect): number {
	const countedAtMs = new Map<string, number>();
	let count = 0;
	for (const {upstream, atMs} of suspect.crashes) {
		if (atMs - (countedAtMs.get(upstream) ?? Number.NEGATIVE_INFINITY) > sameCrashMs) {
			countedAtMs.set(upstream, atMs);
			count += 1;
		}
	}

	return count;
}
