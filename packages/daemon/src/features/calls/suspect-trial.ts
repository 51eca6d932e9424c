/** The one run of a request that was in flight when an upstream crashed. */
import type {UpstreamId} from '@cairnbank/core';

export type SuspectTrial = {
	/** Upstreams at which other suspects are on trial now. */
	readonly excluding: readonly UpstreamId[];
	/** Tells the peers where it is about to run. */
	begin(upstream: UpstreamId): void;
};
