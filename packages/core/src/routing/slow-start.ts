/** Slow start: an upstream that is new or back in use gets a share of its requests that rises to the full share. */
import type {UpstreamState} from './upstream-state.js';

const initialShare = 0.1;

/** Returns the share of its full load that the upstream gets, from `initialShare` to 1. */
export function slowStartShare(state: UpstreamState, slowStartMs: number, nowMs: number): number {
	if (state.slowStartFromMs === undefined || slowStartMs === 0) {
		return 1;
	}

	const progress = (nowMs - state.slowStartFromMs) / slowStartMs;
	return Math.min(1, Math.max(initialShare, progress));
}
