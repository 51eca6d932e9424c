/** Short constructors of outcomes. */
import type {NotRunReason} from '../not-run-reason.js';
import type {Outcome} from '../outcome.js';
import type {UnknownReason} from '../unknown-reason.js';

/** An outcome that says the request provably did not run. */
export function notRun(reason: NotRunReason): Outcome {
	return {type: 'not-run', reason};
}

/** An outcome that says it cannot be told whether the request ran. */
export function unknown(reason: UnknownReason): Outcome {
	return {type: 'unknown', reason};
}
