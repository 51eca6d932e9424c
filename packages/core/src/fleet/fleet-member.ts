/** The state that each instance reports of itself to the others. */
import type {EvacuationOrders} from '../evacuation/evacuations.js';
import type {AvailabilityZoneId, IncarnationId} from '../model/ids.js';
import type {StoreEpoch} from '../registry/store-epoch.js';
import type {FleetSizeReport} from './fleet-size.js';

/** State of one instance, sent with each of its heartbeats. Plain data. */
export type FleetMember = {
	readonly incarnation: IncarnationId;
	/** IP address; the ports are the same on all instances. */
	readonly host: string;
	readonly availabilityZone: AvailabilityZoneId;
	/** Incremented by the member with each change of its reported state, see `MemberUpdate`. */
	readonly revision: number;
	/** The member serves callers and has a configuration. */
	readonly ready: boolean;
	/** The member was told to stop; it still serves requests for a while. */
	readonly leaving: boolean;
	/** Hash of the members in its view, see `FleetView.digestWith`. */
	readonly membersDigest: number;
	/** Fleet size by which it divides limits that hold for the whole fleet; unknown until it has a share of them. */
	readonly fleetSize: FleetSizeReport;
	/** Version of the configuration in force; 0 if there is none. */
	readonly configurationVersion: number;
	/** Epoch of the store to which the offsets below belong. */
	readonly storeEpoch: StoreEpoch;
	/** Evacuation orders of operators for availability zones, as far as the member knows them. */
	readonly evacuations: EvacuationOrders;
	/** End of the registry records that it has applied, see `UpstreamRegistry.endOffset`; -1 if there are none. */
	readonly registryOffset: number;
	/** Hash of the upstreams that it knows, see `UpstreamRegistry.digest`. */
	readonly registryDigest: number;
	/** Time since the store last confirmed its state, directly or through other instances. */
	readonly stateAgeMs: number;
	/** Its last call to the store succeeded, or it has not called the store yet. */
	readonly reachesStore: boolean;
	/** It reaches upstreams on connections of its own; otherwise others pass on its requests. */
	readonly reachesUpstreams: boolean;
	/** Hash of what it knows of requests that crash upstreams, see `CrashTable.digest`; 0 if there are none. */
	readonly suspectsDigest: number;
};
