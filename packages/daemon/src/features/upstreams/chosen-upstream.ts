/** An upstream that was chosen for one attempt, with callbacks for the results of the attempt. */
import type {Upstream} from '@cairnbank/core';
import type {AttemptResult} from '@cairnbank/core/outcomes';
import type {Pool} from 'undici';
import type {AnswerHeaders} from '../calls/answer-framing.js';

/** The attempt counts as in flight from the choice on, so `onEnd` must be called exactly once. */
export type ChosenUpstream = {
	readonly upstream: Upstream;
	readonly dispatcher: Pool;
	/** Takes the load report and the drain header from the headers of the answer. */
	onHead(headers: AnswerHeaders): void;
	onEnd(result: AttemptResult): void;
};
