/** An upstream as it registers itself in the store. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '../model/ids.js';

/** Entry of one upstream. Plain data, which instances pass to each other as JSON. */
export type RegisteredUpstream = {
	/** May stay the same across restarts of the upstream; `startedAtMs` distinguishes the starts. */
	readonly id: UpstreamId;
	/** Start time in Unix milliseconds by its own clock; 0 if it doesn't report one. */
	readonly startedAtMs: number;
	/** Increases with each entry that the upstream writes after one start. */
	readonly sequence: number;
	readonly service: ServiceId;
	/** Version of its software; undefined if it was learned from an instance that doesn't report versions. */
	readonly version?: string | undefined;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: AvailabilityZoneId;
	/** Number of requests that it runs at the same time. */
	readonly slots: number;
	/** The upstream has announced that it leaves, and accepts no new requests. */
	readonly draining: boolean;
	/** Remaining warm-up time at registration, in milliseconds, in which it is slow after its start. */
	readonly warmupMs: number;
};

/** Identifies one start of an upstream: two crashes under one upstream id belong to two starts. */
export function startIdOf({id, startedAtMs}: Pick<RegisteredUpstream, 'id' | 'startedAtMs'>): UpstreamId {
	return (startedAtMs === 0 ? id : `${id}@${startedAtMs}`) as UpstreamId;
}
