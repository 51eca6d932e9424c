/** Result of selecting an upstream for a request. */
import type {UpstreamId} from '../model/ids.js';

export type NoUpstreamReason =
	/** The service has no upstream that may get new requests. */
	| 'no-upstream'
	/** Every upstream that may get new requests is at its limit; the request can wait. */
	| 'at-limit';

export type Choice =
	| {readonly type: 'chosen'; readonly upstream: UpstreamId}
	| {readonly type: 'none'; readonly reason: NoUpstreamReason};
