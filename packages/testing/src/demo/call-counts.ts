/** Counts the results of the demo's calls and compares them with the runs that the upstreams counted. */

export type CallOutcome = 'answered' | 'not-run' | 'unknown' | 'cut';

export type CallResult = {
	readonly requestId: string;
	readonly idempotent: boolean;
	/** What guarantees that it runs at most once; absent for idempotent calls. */
	readonly guard?: 'ticket' | 'key';
	readonly outcome: CallOutcome;
	/** Whether the answer belongs to this request and the upstream received the complete request. */
	readonly isOwnAnswer: boolean;
};

export type CallCounts = {
	readonly sent: number;
	/** Number of non-idempotent calls with a ticket, and with an idempotency key. */
	readonly ticketed: number;
	readonly keyed: number;
	readonly answered: number;
	readonly notRun: number;
	readonly unknown: number;
	/** Non-idempotent calls that ran more than once. */
	readonly doubled: number;
	/** Calls that were answered although no upstream ran them. */
	readonly lost: number;
	/** Calls reported as not run although an upstream ran them. */
	readonly falselyNotRun: number;
	/** Calls whose connection broke, or whose answer was incomplete or belonged to another call. */
	readonly cut: number;
};

/** Counts the results by outcome and by error. */
export function countCalls(results: readonly CallResult[], runs: ReadonlyMap<string, number>): CallCounts {
	const runsOf = (result: CallResult) => runs.get(result.requestId) ?? 0;
	const count = (matches: (result: CallResult) => boolean) => results.filter(result => matches(result)).length;
	return {
		sent: results.length,
		ticketed: count(result => result.guard === 'ticket'),
		keyed: count(result => result.guard === 'key'),
		answered: count(result => result.outcome === 'answered' && result.isOwnAnswer),
		notRun: count(result => result.outcome === 'not-run'),
		unknown: count(result => result.outcome === 'unknown'),
		doubled: count(result => !result.idempotent && runsOf(result) > 1),
		lost: count(result => result.outcome === 'answered' && runsOf(result) === 0),
		falselyNotRun: count(result => result.outcome === 'not-run' && runsOf(result) > 0),
		cut: count(result => result.outcome === 'cut' || (result.outcome === 'answered' && !result.isOwnAnswer)),
	};
}

/** Returns whether no call was doubled, lost, cut or falsely reported as not run. */
export function isClean(counts: CallCounts): boolean {
	return counts.doubled + counts.lost + counts.falselyNotRun + counts.cut === 0;
}
