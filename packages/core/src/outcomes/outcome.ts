/** The one end of a request, as its caller is told. */
import type {AttemptResult} from './attempt-result.js';

/** Outcomes are attempt results: what the last attempt that counts ended in. */
export type Outcome = AttemptResult;
