/** An upstream as it registers itself in the store. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '../model/ids.js';

/** Plain data: instances hand it to each other as JSON. */
export type RegisteredUpstream = {
	/** May outlast a restart of the upstream; `startedAtMs` tells one start from another. */
	readonly id: UpstreamId;
	/** Unix milliseconds of its start by its own clock; 0 where it doesn't tell. */
	readonly startedAtMs: number;
	/** Grows with each entry that one start of the upstream writes. */
	readonly sequence: number;
	readonly service: ServiceId;
	readonly host: string;
	readonly port: number;
	readonly availabilityZone: AvailabilityZoneId;
	/** Requests that it runs at the same time. */
	readonly slots: number;
	/** It has announced that it will leave and takes no new requests. */
	readonly draining: boolean;
	/** How much longer it was slow after its start when it registered, in milliseconds. */
	readonly warmupMs: number;
};

/** Names one start of an upstream: two crashes under one id are those of two starts. */
export function startIdOf({id, startedAtMs}: Pick<RegisteredUpstream, 'id' | 'startedAtMs'>): UpstreamId {
	return (startedAtMs === 0 ? id : `${id}@${startedAtMs}`) as UpstreamId;
}
