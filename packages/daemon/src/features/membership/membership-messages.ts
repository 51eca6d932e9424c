/** Messages between the membership feature and others. */
import type {UpstreamId} from '@cairnbank/core';

/** What an upstream itself showed, to be told of by whoever talks to it. */
export type UpstreamSignMessage = {
	readonly type: 'upstream-sign';
	readonly upstream: UpstreamId;
	/** `clean` need only be told while the upstream is draining. */
	readonly sign: 'marked' | 'clean' | 'failed';
	/** When the request was sent, on the monotonic clock. */
	readonly sentAtMs: number;
};

/** An upstream takes no new work; who said so first. */
export type UpstreamDrainingMessage = {
	readonly type: 'upstream-draining';
	readonly upstream: UpstreamId;
	readonly source: 'answer' | 'instance-list' | 'operator' | 'peer';
};

/** An upstream takes new work again. */
export type UpstreamUndrainedMessage = {
	readonly type: 'upstream-undrained';
	readonly upstream: UpstreamId;
};

export type MembershipMessage = UpstreamSignMessage | UpstreamDrainingMessage | UpstreamUndrainedMessage;
