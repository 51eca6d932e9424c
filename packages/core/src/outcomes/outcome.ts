/** The final outcome of a request, as reported to its caller. */
import type {AttemptResult} from './attempt-result.js';

/** The result of the last attempt that is relevant to the caller. */
export type Outcome = AttemptResult;
