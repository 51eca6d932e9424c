/** The trial of a suspect: a single run of a request that was in flight when an upstream crashed. */
import type {UpstreamId} from '@cairnbank/core';

export type SuspectTrial = {
	/** Upstreams on which other suspects are currently on trial. */
	readonly excluding: readonly UpstreamId[];
	/** Announces to the peers on which upstream the request is about to run. */
	begin(upstream: UpstreamId): void;
};
