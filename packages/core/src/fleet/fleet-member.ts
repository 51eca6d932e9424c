/** What instances tell each other of themselves. */
import type {EvacuationOrders} from '../evacuation/evacuations.js';
import type {AvailabilityZoneId, IncarnationId} from '../model/ids.js';
import type {StoreEpoch} from '../registry/store-epoch.js';
import type {FleetSizeReport} from './fleet-size.js';

/** Sent with every heartbeat; plain data. */
export type FleetMember = {
	readonly incarnation: IncarnationId;
	/** IP number; the ports are the same on all instances. */
	readonly host: string;
	readonly availabilityZone: AvailabilityZoneId;
	/** Raised by the member with each change of what it says of itself, see `MemberUpdate`. */
	readonly revision: number;
	/** It serves callers and knows a configuration. */
	readonly ready: boolean;
	/** It has been told to stop; it still serves for a while. */
	readonly leaving: boolean;
	/** Sums up which members it knows, see `FleetView.digest`. */
	readonly membersDigest: number;
	/** Size of the fleet that it goes by in what all share; unknown until it has a share. */
	readonly fleetSize: FleetSizeReport;
	/** Version of the configuration in force; 0 for none. */
	readonly configurationVersion: number;
	/** Epoch of the store to which the positions below belong. */
	readonly storeEpoch: StoreEpoch;
	/** Availability zones that operators have emptied, as far as it knows. */
	readonly evacuations: EvacuationOrders;
	/** Registry records folded in, see `UpstreamRegistry.endOffset`; -1 for none. */
	readonly registryOffset: number;
	/** Sums up which upstreams it knows, see `UpstreamRegistry.digest`. */
	readonly registryDigest: number;
	/** Time since the store last confirmed what it knows, directly or through others. */
	readonly stateAgeMs: number;
	/** Its last call to the store succeeded, or it has made none. */
	readonly reachesStore: boolean;
};
