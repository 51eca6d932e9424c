/** The selector's answer to one request. */
import type {UpstreamId} from '../model/ids.js';

export type NoUpstreamReason =
	/** The service has no upstream that may take new work. */
	| 'no-upstream'
	/** Every upstream that may take work is at its limit; waiting helps. */
	| 'at-limit';

export type Choice =
	| {readonly type: 'chosen'; readonly upstream: UpstreamId}
	| {readonly type: 'none'; readonly reason: NoUpstreamReason};
