/** A registered upstream with its condition as seen by this instance and the channels to it. */
import type {UpstreamCondition} from '@cairnbank/core/placement';
import type {RegisteredUpstream} from '@cairnbank/core/registry';
import type {ChannelPool} from './channel-pool.js';

export type Upstream = {
	readonly registered: RegisteredUpstream;
	readonly condition: UpstreamCondition;
	readonly pool: ChannelPool;
};
