/** One incarnation as this daemon knows it. */
import type {MemberEntry} from './member-entry.js';

export type Member = {
	readonly entry: MemberEntry;
	/** When it was first heard of here, on the own monotonic clock. */
	readonly firstHeardAtMs: number;
	/** When its heartbeat last rose here, on the own monotonic clock. */
	readonly heardAtMs: number;
	/** Heartbeat at which it was reported unreachable; one that is higher by the margin refutes it. */
	readonly suspectedAtHeartbeat?: number;
	/** Until when a failed exchange of this daemon counts, whatever others say. */
	readonly unreachableUntilMs?: number;
};
