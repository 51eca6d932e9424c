/** One registered upstream with what this instance knows of it and its connections. */
import type {UpstreamCondition} from '@cairnbank/core/placement';
import type {RegisteredUpstream} from '@cairnbank/core/registry';
import type {ConnectionPool} from './connection-pool.js';

export type Upstream = {
	readonly registered: RegisteredUpstream;
	/** On the monotonic clock; it is slow until then. */
	readonly warmUntilMs: number;
	readonly condition: UpstreamCondition;
	readonly pool: ConnectionPool;
};
