/** The headers by which callers, gateway and upstreams understand each other. */
import type {LoadReport} from '@cairnbank/core/placement';

/** Names are in lower case. */
export type RequestDialect = {
	/** Names one attempt of a caller; upstreams repeat it on the answer. */
	readonly requestIdHeader: string;
	/** Milliseconds that the sender will still wait. */
	readonly deadlineHeader: string;
	/** Which upstream is meant; any other refuses. */
	readonly expectedUpstreamHeader: string;
	/** Which upstream answered a health check. */
	readonly upstreamIdHeader: string;
	/** Proves that an answer is an upstream's own. */
	readonly signatureHeader: string;
	/** On a refusal: the upstream did not run the request. */
	readonly notExecutedHeader: string;
	readonly loadHeader: string;
	/** On health answers: milliseconds for which the upstream stays cold. */
	readonly warmupHeader: string;
	/** On answers of an upstream in need: requests a second that it takes from all instances together. */
	readonly rateLimitHeader: string;
	/** On all answers of an upstream that is about to stop. */
	readonly leavingHeader: string;
	/** On a 503: how long the upstream wants nothing from the instance that it answers. */
	readonly backOffHeader: string;
	/** @returns nothing where the value is not a load report */
	parseLoad(value: string): LoadReport | undefined;
	/** @returns requests a second, or nothing where the value is no rate */
	parseRateLimit(value: string): number | undefined;
	/** @returns whether the upstream leaves, or nothing where the value says neither */
	parseLeaving(value: string): boolean | undefined;
	/** @returns milliseconds, or nothing where the value is no duration */
	parseBackOffMs(value: string): number | undefined;
};
