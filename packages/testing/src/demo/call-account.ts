/** What became of each call of the demo, judged against the upstreams' own counts. */

export type FinalTold = 'answered' | 'not-run' | 'unknown' | 'cut';

export type CallEnd = {
	readonly requestId: string;
	readonly idempotent: boolean;
	/** What keeps it from running twice; absent for idempotent calls. */
	readonly guard?: 'ticket' | 'key';
	readonly told: FinalTold;
	/** The answer is the upstream's to this request, and the upstream had the whole request. */
	readonly own: boolean;
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
export function countCalls(ends: readonly CallEnd[], runs: ReadonlyMap<string, number>): CallCounts {
	const runsOf = (end: CallEnd) => runs.get(end.requestId) ?? 0;
	const count = (matches: (end: CallEnd) => boolean) => ends.filter(end => matches(end)).length;
	return {
		sent: ends.length,
		ticketed: count(end => end.guard === 'ticket'),
		keyed: count(end => end.guard === 'key'),
		answered: count(end => end.told === 'answered' && end.own),
		notRun: count(end => end.told === 'not-run'),
		unknown: count(end => end.told === 'unknown'),
		doubled: count(end => !end.idempotent && runsOf(end) > 1),
		lost: count(end => end.told === 'answered' && runsOf(end) === 0),
		falselyNotRun: count(end => end.told === 'not-run' && runsOf(end) > 0),
		cut: count(end => end.told === 'cut' || (end.told === 'answered' && !end.own)),
	};
}

/** Nothing doubled, lost, cut or wrongly told. */
export function isClean(counts: CallCounts): boolean {
	return counts.doubled + counts.lost + counts.falselyNotRun + counts.cut === 0;
}
