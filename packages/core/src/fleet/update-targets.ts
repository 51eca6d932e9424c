/** Chooses the instances to which updates about members are passed on. */
import type {AvailabilityZoneId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {FleetMember} from './fleet-member.js';

/**
 * Each instance passes each update on once, to this many others. A given instance then misses it with a probability of
 * exp(-6), 1 in 400, and detects that when digests are compared.
 */
const targetCount = 6;
/**
 * Number of these in other availability zones, as traffic between zones is paid for. Each zone of 60 instances still receives
 * each update from about 60 instances outside.
 */
const otherZoneTargets = 1;

/** Draws random targets among the other instances, most of them from the own availability zone. */
export function chooseUpdateTargets(live: readonly FleetMember[], ownZone: AvailabilityZoneId, random: RandomSource): readonly string[] {
	const inZone = sample(live.filter(({availabilityZone}) => availabilityZone === ownZone), targetCount - otherZoneTargets, random);
	const outside = sample(live.filter(({availabilityZone}) => availabilityZone !== ownZone), targetCount - inZone.length, random);
	return [...inZone, ...outside].map(({host}) => host);
}

/**
 * Number of instances in each other availability zone that relay a message for the whole fleet to all of their zone. Traffic
 * between zones is paid for: an instance that informs 250 others in four zones sends eight datagrams there instead of 250. If
 * both relays of a zone are gone or their datagrams lost, its instances receive the state with the next heartbeat or from each other.
 */
const relaysPerZone = 2;

/** Draws the relays of each other availability zone. */
export function chooseRelays(live: readonly FleetMember[], ownZone: AvailabilityZoneId, random: RandomSource): readonly string[] {
	const zones = new Set(live.map(({availabilityZone}) => availabilityZone).filter(zone => zone !== ownZone));
	return [...zones]
		.flatMap(zone => sample(live.filter(({availabilityZone}) => availabilityZone === zone), relaysPerZone, random))
		.map(({host}) => host);
}

function sample(members: readonly FleetMember[], count: number, random: RandomSource): readonly FleetMember[] {
	const remaining = [...members];
	return Array.from({length: Math.min(count, remaining.length)}, () => remaining.splice(random.nextInteger(remaining.length), 1)[0]!);
}
