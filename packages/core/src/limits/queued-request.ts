/** A request waiting in the admission queue. */
import type {TenantId} from '../model/ids.js';

export type QueuedRequest<Payload> = {
	/** Priority of its request class; 0 is the highest. */
	readonly priority: number;
	readonly tenant: TenantId;
	readonly arrivedAtMs: number;
	/** The request is not started after this time. */
	readonly deadlineAtMs: number;
	readonly payload: Payload;
};
