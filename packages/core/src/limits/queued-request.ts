/** What the admission queue knows of a waiting request. */
import type {TenantId} from '../model/ids.js';

export type QueuedRequest<Payload> = {
	/** Priority of its class; 0 comes first. */
	readonly priority: number;
	readonly tenant: TenantId;
	readonly arrivedAtMs: number;
	/** After this it is not started. */
	readonly deadlineAtMs: number;
	readonly payload: Payload;
};
