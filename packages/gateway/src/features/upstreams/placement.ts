/** What an attempt needs, and the place that was found for it. */
import type {ServiceId, UpstreamId} from '@cairnbank/core';
import type {RoomInputs} from '@cairnbank/core/overload';
import type {Upstream} from './upstream.js';

export type PlacementRequest = {
	readonly service: ServiceId;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
	/** Upstreams that got an attempt already. */
	readonly excluded: ReadonlySet<UpstreamId>;
	/** Those of them that the attempt did not reach; they may be tried again through another instance. */
	readonly notReached: ReadonlySet<UpstreamId>;
};

export type Placement = {
	readonly upstream: Upstream;
	readonly expectedMs: number;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
	/** Slowness from the upstream's last load report; undefined if there is none. */
	readonly slowness: number | undefined;
	/** Expected duration divided by the work, from the upstream's load report; undefined if there is none. */
	readonly durationRatio: number | undefined;
	/** Whether the upstream runs at its usual speed and has a free slot. */
	readonly isLightlyLoaded: boolean;
	/** Whether the load of any upstream that may take the request is known. */
	readonly isLoadKnown: boolean;
	/** Whether a health check of the upstream is running that will report its load. */
	readonly isLoadAwaited: boolean;
	/** What was known of free slots when the upstream was chosen. */
	readonly room: RoomInputs;
};
