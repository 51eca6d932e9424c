/** An upstream chosen for one attempt, with the way back for what the attempt shows. */
import type {Upstream} from '@cairnbank/core';
import type {AttemptResult} from '@cairnbank/core/outcomes';
import type {Pool} from 'undici';
import type {AnswerHeaders} from '../calls/answer-framing.js';

/** From the choice on it counts as in flight; `onEnd` has to follow exactly once. */
export type ChosenUpstream = {
	readonly upstream: Upstream;
	readonly dispatcher: Pool;
	/** The head of an answer, for its load report and drain mark. */
	onHead(headers: AnswerHeaders): void;
	onEnd(result: AttemptResult): void;
};
