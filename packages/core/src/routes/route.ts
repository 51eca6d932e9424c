/** The configuration that operators publish for the gateway: services, routes by host and path, and limits on callers. */
import type {ClientAccount} from '../accounts/client-account.js';
import type {ServiceId} from '../model/ids.js';

/** A target service of a route, with its share of the route's requests. */
export type WeightedService = {
	readonly service: ServiceId;
	/** Relative to the other targets of the route; not negative. */
	readonly weight: number;
};

/** Rules for the requests to one host below one path prefix. */
export type Route = {
	readonly id: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	/** Whether a request may run more than once. */
	readonly idempotent: boolean;
	/** Longest time for which a caller waits for the answer. */
	readonly timeoutMs: number;
	/** Time within which an answer has its full value for the caller. */
	readonly targetLatencyMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Greatest number of upstreams to which one request may be sent. */
	readonly maximumAttempts: number;
	readonly services: readonly WeightedService[];
	/** Whether callers need no account, even where accounts are configured. */
	readonly isPublic?: boolean;
};

/** Routes of one host name. */
export type HostRoutes = {readonly host: string; readonly routes: readonly Route[]};

/** Settings shared by all upstreams of a service. */
export type ServiceSettings = {
	readonly id: ServiceId;
	/** Path of the health and load endpoint. */
	readonly healthPath: string;
	/** Connections that one upstream accepts from all instances together. */
	readonly maximumConnections: number;
	/** Requests per second that a cold upstream can take from all instances together; absent where there is no limit. */
	readonly coldRequestsPerSecond?: number;
};

/** Limits on the size and duration of a caller's requests. */
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One complete published configuration. */
export type GatewayConfiguration = {
	/** Increases with each publication. */
	readonly version: number;
	readonly services: readonly ServiceSettings[];
	readonly hosts: readonly HostRoutes[];
	readonly limits: CallerLimits;
	/** Absent where callers need no account. */
	readonly accounts?: readonly ClientAccount[];
};
