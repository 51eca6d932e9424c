/** What the end of an attempt brings. */
import type {AttemptSignal} from './attempt-signal.js';
import type {LoadReport} from './load-report.js';

export type AttemptEnd = {
	/** As given to `onSent`. */
	readonly sentAtMs: number;
	readonly nowMs: number;
	readonly signal: AttemptSignal;
	/** The report that came with the answer. */
	readonly report?: LoadReport;
};
