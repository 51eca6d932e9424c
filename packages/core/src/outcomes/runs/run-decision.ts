/** What is to be done with one send of a request under a ticket or key. */
import type {Outcome} from '../outcome.js';

export type RunDecision =
	/** The table now says running: the caller of the table runs it and reports the end. */
	| {readonly type: 'run'}
	/** It is running; wait for the same end. */
	| {readonly type: 'join'}
	/** Nothing is to be run: this is what the caller is told. */
	| {readonly type: 'end'; readonly outcome: Outcome}
	/** The table is sealed for hand-over and starts no run any more; its successor decides. */
	| {readonly type: 'sealed'};
