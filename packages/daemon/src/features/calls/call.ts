/** A request of a caller that has been read and classified. */
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
	/** The service in the configuration that was in force when the call was read; a call uses the same version throughout. */
	readonly service: ServiceInForce;
	readonly method: string;
	/** Path and query of the request to the upstream. */
	readonly path: string;
	/** End-to-end headers in the order in which they were received. */
	readonly headers: RawHeaders;
	readonly body: Uint8Array | undefined;
	readonly tenant: TenantId;
	readonly requestClass: RequestClass;
	readonly idempotent: boolean;
	/** Monotonic time. */
	readonly deadlineAtMs: number;
	/** Monotonic time at which the request was fully read; absent if another instance forwarded the call. */
	readonly readAtMs?: number;
	readonly ticket: string | undefined;
	readonly idempotencyKey: string | undefined;
	/** Number of earlier attempts of the request, if the caller reports it. */
	readonly previousAttempts: number | undefined;
	readonly trace: CallTrace;
	readonly cancellation: Cancellation;
	/** Receives an answer that is too large to be buffered; absent if the answer cannot be streamed. */
	readonly sink: AnswerSink | undefined;
	/** Present if the request is suspected of crashing upstreams. */
	readonly trial?: SuspectTrial;
};
