/** Messages on the bus between membership and the other features. */
import type {UpstreamId} from '@cairnbank/core';

/** Whether an attempt or a probe found the drain header on the upstream's answer (`marked`), found none (`clean`) or failed. */
export type UpstreamSignMessage = {
	readonly type: 'upstream-sign';
	readonly upstream: UpstreamId;
	/** `clean` only has to be sent while the upstream is draining. */
	readonly sign: 'marked' | 'clean' | 'failed';
	/** Time at which the request was sent, on the monotonic clock. */
	readonly sentAtMs: number;
};

/** An upstream takes no new requests. `source` is where this was learned first. */
export type UpstreamDrainingMessage = {
	readonly type: 'upstream-draining';
	readonly upstream: UpstreamId;
	readonly source: 'answer' | 'instance-list' | 'operator' | 'peer';
};

/** An upstream takes new requests again. */
export type UpstreamUndrainedMessage = {
	readonly type: 'upstream-undrained';
	readonly upstream: UpstreamId;
};

export type MembershipMessage = UpstreamSignMessage | UpstreamDrainingMessage | UpstreamUndrainedMessage;
