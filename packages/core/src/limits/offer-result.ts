/** What became of a request that was offered to the admission queue. */
import type {QueuedRequest} from './queued-request.js';

export type QueueShedReason =
	/** The queue is full, or the tenant's share of it. */
	| 'queue-full'
	/** Its turn would not come in time. */
	| 'queue-timeout';

export type OfferResult<Payload> =
	/** It waits. `evicted` had to make room and is refused now. */
	| {readonly type: 'queued'; readonly evicted?: QueuedRequest<Payload>; readonly retryAfterMs: number}
	/** It is refused now. */
	| {readonly type: 'shed'; readonly reason: QueueShedReason; readonly retryAfterMs: number};
