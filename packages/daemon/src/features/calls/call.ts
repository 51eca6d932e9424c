/** One request of a caller, read and classified. */
import type {
	RequestClass, ServiceId, TenantId,
} from '@cairnbank/core';
import type {RawHeaders} from '@cairnbank/core/outcomes';
import type {CallTrace} from '../../tracing/call-trace.js';
import type {AnswerSink} from './answer-sink.js';
import type {Cancellation} from './cancellation.js';
import type {ServiceInForce} from './service-in-force.js';
import type {SuspectTrial} from './suspect-trial.js';

export type Call = {
	readonly serviceId: ServiceId;
	/** The service as the configuration had it when the call was read; one call sees one version. */
	readonly service: ServiceInForce;
	readonly method: string;
	/** Path and query at the upstream. */
	readonly path: string;
	/** End-to-end headers in the order they came. */
	readonly headers: RawHeaders;
	readonly body: Uint8Array | undefined;
	readonly tenant: TenantId;
	readonly requestClass: RequestClass;
	readonly idempotent: boolean;
	/** On the monotonic clock. */
	readonly deadlineAtMs: number;
	/** When the request was read whole, on the monotonic clock; absent where another instance passed it on. */
	readonly readAtMs?: number;
	readonly ticket: string | undefined;
	readonly idempotencyKey: string | undefined;
	/** Sends of this request before this one, where the caller counts them. */
	readonly previousAttempts: number | undefined;
	readonly trace: CallTrace;
	readonly cancellation: Cancellation;
	/** Takes an answer that is too large to be held whole; absent where the call cannot stream. */
	readonly sink: AnswerSink | undefined;
	/** Present where the request is suspected of crashing upstreams. */
	readonly trial?: SuspectTrial;
};
