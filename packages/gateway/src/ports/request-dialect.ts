/** The headers of requests and answers between callers, the gateway and upstreams. */
import type {LoadReport} from '@cairnbank/core/placement';

/** Names of headers, in lower case, and parsers of their values. */
export type RequestDialect = {
	/** Identifies one attempt of a caller; upstreams return it with the answer. */
	readonly requestIdHeader: string;
	/** Milliseconds for which the sender still waits. */
	readonly deadlineHeader: string;
	/** Contains the caller's credentials; never passed on where accounts are configured. */
	readonly credentialsHeader: string;
	/** Tells the upstream the client account that the request is made for. */
	readonly accountHeader: string;
	/** Identifies the upstream that the request is meant for; any other refuses it. */
	readonly expectedUpstreamHeader: string;
	/** Identifies the upstream that answered a health check. */
	readonly upstreamIdHeader: string;
	/** Signature that proves that an answer comes from an upstream. */
	readonly signatureHeader: string;
	/** Set on a refusal if the upstream did not run the request. */
	readonly notExecutedHeader: string;
	readonly loadHeader: string;
	/** Set on answers to health checks: milliseconds until the upstream is warm. */
	readonly warmupHeader: string;
	/** Set on answers of an overloaded upstream: requests per second that it accepts from all instances together. */
	readonly rateLimitHeader: string;
	/** Set on all answers of an upstream that is about to stop. */
	readonly leavingHeader: string;
	/** Set on a 503: time for which the instance that receives the answer must not send requests to the upstream. */
	readonly backOffHeader: string;
	/** @returns the load report, or `undefined` if the value is not one */
	parseLoad(value: string): LoadReport | undefined;
	/** @returns requests per second, or `undefined` if the value is not a rate */
	parseRateLimit(value: string): number | undefined;
	/** @returns whether the upstream is about to stop, or `undefined` if the value is invalid */
	parseLeaving(value: string): boolean | undefined;
	/** @returns milliseconds, or `undefined` if the value is not a duration */
	parseBackOffMs(value: string): number | undefined;
};
