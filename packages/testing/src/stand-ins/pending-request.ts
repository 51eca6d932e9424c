/** One request on its way through an upstream stand-in. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {UpstreamFaults} from './upstream-faults.js';

export type PendingRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly receivedBytes: number;
	readonly receivedAtMs: number;
	readonly zoneDelayMs: number;
	/** As they were when the request came. */
	readonly faults: UpstreamFaults;
};
