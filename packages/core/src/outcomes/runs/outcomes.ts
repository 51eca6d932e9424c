/** Functions that create outcomes. */
import type {NotRunReason} from '../not-run-reason.js';
import type {Outcome} from '../outcome.js';
import type {UnknownReason} from '../unknown-reason.js';

/** Creates the outcome of a request that provably did not run. */
export function notRun(reason: NotRunReason): Outcome {
	return {type: 'not-run', reason};
}

/** Creates the outcome of a request that may or may not have run. */
export function unknown(reason: UnknownReason): Outcome {
	return {type: 'unknown', reason};
}
