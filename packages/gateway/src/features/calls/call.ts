/** One request of a caller, with its whole body. */
import type {ServiceId} from '@cairnbank/core';
import type {ClientAccount, KeyDigest} from '@cairnbank/core/accounts';
import type {Route} from '@cairnbank/core/routes';
import type {RequestBody} from '../upstreams/exchange.js';
import type {RawHeaders} from '../upstreams/upstream-answer.js';

export type Call = {
	readonly requestId: string;
	/** Address of the caller, without its port. */
	readonly caller: string;
	/** Host that the caller named, without a port and in lower case. */
	readonly host: string;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** As the caller sent them, without hop-by-hop headers and those that the gateway sets itself. */
	readonly headers: RawHeaders;
	readonly body: RequestBody | undefined;
	/** Account that the caller has authenticated as; undefined on a public route and where no accounts are configured. */
	readonly account: ClientAccount | undefined;
	/** Digest of the key by which the caller has authenticated; undefined if `account` is. */
	readonly accountKey: KeyDigest | undefined;
	/** Priority of the account if it has one, else of the route; 0 is the most urgent. */
	readonly priority: number;
	readonly route: Route;
	/** Service of the route that was picked for this request. */
	readonly service: ServiceId;
	/** Version of the configuration that contains the route. */
	readonly configurationVersion: number;
	readonly receivedAtMs: number;
	/** Earlier of the caller's deadline and the route's timeout, on the monotonic clock. */
	readonly deadlineAtMs: number;
};
