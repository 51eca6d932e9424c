/** A registered upstream with its condition as seen by this instance and its connections. */
import type {UpstreamCondition} from '@cairnbank/core/placement';
import type {RegisteredUpstream} from '@cairnbank/core/registry';
import type {ConnectionPool} from './connection-pool.js';

export type Upstream = {
	readonly registered: RegisteredUpstream;
	readonly condition: UpstreamCondition;
	readonly pool: ConnectionPool;
};
