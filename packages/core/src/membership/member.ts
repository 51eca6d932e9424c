/** One incarnation with what this daemon has observed of it. */
import type {MemberEntry} from './member-entry.js';

export type Member = {
	readonly entry: MemberEntry;
	/** Time at which this daemon first received its entry, on its own monotonic clock. */
	readonly firstHeardAtMs: number;
	/** Time at which this daemon last saw its heartbeat increase or received an answer from it, on its own monotonic clock. */
	readonly heardAtMs: number;
	/** Heartbeat at which it was reported unreachable; one that is higher by more than the margin refutes the suspicion. */
	readonly suspectedAtHeartbeat?: number;
	/** Time until which a failed exchange with this daemon counts, whatever heartbeats peers report. */
	readonly unreachableUntilMs?: number;
};
