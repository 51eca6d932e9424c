/** A way to send one request at a time to an upstream: a connection of this instance, or another instance that passes it on. */
import type {Result} from 'neverthrow';
import type {ExchangeFailure, OutgoingRequest} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';

export type UpstreamChannel = {
	/** True if the request may have left this instance; nothing is sent before. */
	readonly isConnected: boolean;
	/** True if a further request may be sent on the channel now. */
	readonly isReusable: boolean;
	/** Host of the instance that passes the request on; undefined for a connection of this instance. */
	readonly relay?: string | undefined;
	/** Time that the way through another instance takes from the upstream's; undefined for a connection of this instance. */
	readonly hopMs?: number;
	/** Bytes read of all answers on this channel. */
	readonly readBytes: number;
	/** Sends one request; resolves once its answer is complete or the exchange has failed. */
	exchange(request: OutgoingRequest): Promise<Result<UpstreamAnswer, ExchangeFailure>>;
	/** Cancels the running request; most upstreams then stop processing it. */
	cancel(): void;
	close(): void;
};
