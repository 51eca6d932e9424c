/**
 * Router for calls between daemons. Each feature has its router and its handler type in a file of its own;
 * to add one, add a line to `PeerHandlers` and one to `createPeerRouter`.
 */
import {createAtMostOnceRouter, type AtMostOnceHandler} from '../at-most-once/at-most-once-router.js';
import {createConfigurationRouter, type ConfigurationHandler} from './configuration-router.js';
import {createMembershipRouter, type MembershipHandler} from './membership-router.js';
import {peerTrpc} from './peer-trpc.js';

/** The features' handlers for calls from other daemons. */
export type PeerHandlers = {
	readonly membership: MembershipHandler;
	readonly atMostOnce: AtMostOnceHandler;
	readonly configuration: ConfigurationHandler;
};

export function createPeerRouter(handlers: PeerHandlers) {
	return peerTrpc.router({
		membership: createMembershipRouter(handlers.membership),
		atMostOnce: createAtMostOnceRouter(handlers.atMostOnce),
		configuration: createConfigurationRouter(handlers.configuration),
	});
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
