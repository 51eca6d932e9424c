/** What became of each call of the demo, judged against the upstreams' own counts. */

export type CallOutcome = 'answered' | 'not-run' | 'unknown' | 'cut';

export type CallResult = {
	readonly requestId: string;
	readonly idempotent: boolean;
	/** What keeps it from running twice; absent for idempotent calls. */
	readonly guard?: 'ticket' | 'key';
	readonly outcome: CallOutcome;
	/** The answer is the upstream's to this request, and the upstream had the whole request. */
	readonly isOwnAnswer: boolean;
};

export type CallCounts = {
	readonly sent: number;
	/** Non-idempotent calls under a ticket, and under a key. */
	readonly ticketed: number;
	readonly keyed: number;
	readonly answered: number;
	readonly notRun: number;
	readonly unknown: number;
	/** Non-idempotent calls that ran more than once. */
	readonly doubled: number;
	/** Answered, yet no upstream ran it. */
	readonly lost: number;
	/** Told not run, yet an upstream ran it. */
	readonly falselyNotRun: number;
	/** Connections that broke, and answers that are not whole or not their own. */
	readonly cut: number;
};

/** Judges every call. */
export function countCalls(ends: readonly CallResult[], runs: ReadonlyMap<string, number>): CallCounts {
	const runsOf = (end: CallResult) => runs.get(end.requestId) ?? 0;
	const count = (matches: (end: CallResult) => boolean) => ends.filter(end => matches(end)).length;
	return {
		sent: ends.length,
		ticketed: count(end => end.guard === 'ticket'),
		keyed: count(end => end.guard === 'key'),
		answered: count(end => end.outcome === 'answered' && end.isOwnAnswer),
		notRun: count(end => end.outcome === 'not-run'),
		unknown: count(end => end.outcome === 'unknown'),
		doubled: count(end => !end.idempotent && runsOf(end) > 1),
		lost: count(end => end.outcome === 'answered' && runsOf(end) === 0),
		falselyNotRun: count(end => end.outcome === 'not-run' && runsOf(end) > 0),
		cut: count(end => end.outcome === 'cut' || (end.outcome === 'answered' && !end.isOwnAnswer)),
	};
}

/** Nothing doubled, lost, cut or wrongly told. */
export function isClean(counts: CallCounts): boolean {
	return counts.doubled + counts.lost + counts.falselyNotRun + counts.cut === 0;
}
