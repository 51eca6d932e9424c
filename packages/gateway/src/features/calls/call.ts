/** One request of a caller, read whole. */
import type {ServiceId} from '@cairnbank/core';
import type {Route} from '@cairnbank/core/routes';
import type {RawHeaders} from '../upstreams/exchange.js';

export type Call = {
	readonly requestId: string;
	/** Address of the caller, without its port. */
	readonly caller: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** As the caller sent them, without those that concern its connection only. */
	readonly headers: RawHeaders;
	readonly body: Uint8Array | undefined;
	readonly route: Route;
	/** The one of the route's services that this request goes to. */
	readonly service: ServiceId;
	/** Version of the configuration that the route is of. */
	readonly configurationVersion: number;
	readonly receivedAtMs: number;
	/** On the monotonic clock: the caller's deadline or the route's timeout, whichever is first. */
	readonly deadlineAtMs: number;
};
