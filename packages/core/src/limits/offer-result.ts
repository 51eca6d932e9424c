/** Result of offering a request to the admission queue. */
import type {QueuedRequest} from './queued-request.js';

export type QueueShedReason =
	/** The queue is full, or its tenant has used up its share of the queue. */
	| 'queue-full'
	/** The request would not be started before its deadline or the longest queue wait. */
	| 'queue-timeout';

export type OfferResult<Payload> =
	/** The request was queued. If `evicted` is present, that request was removed to make room and must be refused now. */
	| {readonly type: 'queued'; readonly evicted?: QueuedRequest<Payload>; readonly retryAfterMs: number}
	/** The request must be refused now. */
	| {readonly type: 'shed'; readonly reason: QueueShedReason; readonly retryAfterMs: number};
