/** An upstream as it registers itself in the store. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '../model/ids.js';

/** Plain data: instances hand it to each other as JSON. */
export type RegisteredUpstream = {
	/** New with each start of the upstream. */
	readonly id: UpstreamId;
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
