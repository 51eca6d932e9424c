/** What is to be done with one send of a request under a key. */
import type {IncarnationId} from '../../model/ids.js';
import type {RunDecision} from '../runs/run-decision.js';

export type KeyDecision =
	| RunDecision
	/** The table now says running and a claim is queued; `resolve` tells how it went. */
	| {readonly type: 'claim'}
	/** Another process owns the key: only that one may answer. */
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId};

/** How a queued claim stands. */
export type ClaimResolution =
	| {readonly type: 'pending'}
	| {readonly type: 'run'}
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId}
	| {readonly type: 'end'; readonly outcome: Extract<RunDecision, {type: 'end'}>['outcome']};
