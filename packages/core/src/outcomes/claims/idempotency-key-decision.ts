/** The decision how a caller's attempt with an idempotency key is handled. */
import type {IncarnationId} from '../../model/ids.js';
import type {RunDecision} from '../runs/run-decision.js';

export type IdempotencyKeyDecision =
	| RunDecision
	/** The table has marked the request as running and queued a claim; `resolveClaim` returns the result of the claim. */
	| {readonly type: 'claim'}
	/** Another process owns the key: only that process may decide. */
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId};

/** The state of a queued claim. */
export type ClaimResolution =
	| {readonly type: 'pending'}
	| {readonly type: 'run'}
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId}
	| {readonly type: 'end'; readonly outcome: Extract<RunDecision, {type: 'end'}>['outcome']};
