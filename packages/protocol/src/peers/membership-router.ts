/** Gossip exchanges between daemons. */
import {gossipDigestSchema, type GossipDigest} from '@cairnbank/core/membership';
import {peerTrpc} from './peer-trpc.js';

export type MembershipHandler = {
	/** Merges a peer's digest and returns this daemon's digest. */
	exchange(digest: GossipDigest): GossipDigest;
};

export function createMembershipRouter(handler: MembershipHandler) {
	return peerTrpc.router({
		exchange: peerTrpc.procedure
			.input(gossipDigestSchema)
			.mutation(({input}): GossipDigest => handler.exchange(input)),
	});
}
