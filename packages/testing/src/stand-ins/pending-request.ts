/** A request that an upstream stand-in has received and not yet answered. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {UpstreamFaults} from './upstream-faults.js';

export type PendingRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly receivedBytes: number;
	readonly receivedAtMs: number;
	readonly zoneDelayMs: number;
	/** The faults that applied when the request was submitted. */
	readonly faults: UpstreamFaults;
};
