/** Feedback to the upstream selector at the end of an attempt. */
import type {AttemptSignal} from './attempt-signal.js';
import type {LoadReport} from './load-report.js';

export type AttemptFeedback = {
	/** The same time that was passed to `onSent`. */
	readonly sentAtMs: number;
	readonly nowMs: number;
	readonly signal: AttemptSignal;
	/** Load report from the answer. */
	readonly report?: LoadReport;
};
