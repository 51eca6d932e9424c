/** An upstream that is new, or back, gets a share of work that rises to its full one. */
import type {UpstreamState} from './upstream-state.js';

const firstShare = 0.1;

/** Share of its full work, from a tenth to 1. */
export function slowStartShare(state: UpstreamState, slowStartMs: number, nowMs: number): number {
	if (state.slowStartFromMs === undefined || slowStartMs === 0) {
		return 1;
	}

	const progress = (nowMs - state.slowStartFromMs) / slowStartMs;
	return Math.min(1, Math.max(firstShare, progress));
}
