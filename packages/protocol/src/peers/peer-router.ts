/**
 * What daemons ask of each other. Each feature has its router and its handler type in a file of its own;
 * a new one takes one line in `PeerHandlers` and one in `createPeerRouter`.
 */
import {createMembershipRouter, type MembershipHandler} from './membership-router.js';
import {peerTrpc} from './peer-trpc.js';

/** The features' answers to calls of other daemons. */
export type PeerHandlers = {
	readonly membership: MembershipHandler;
};

export function createPeerRouter(handlers: PeerHandlers) {
	return peerTrpc.router({
		membership: createMembershipRouter(handlers.membership),
	});
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
