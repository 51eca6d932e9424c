/** To whom an instance passes on what it has just learnt of others. */
import type {AvailabilityZoneId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {FleetMember} from './fleet-member.js';

/**
 * Each instance passes each update on once, to this many. One instance then misses it with a probability of
 * exp(-6), 1 in 400, and finds that out by comparing digests.
 */
const targets = 6;
/**
 * Those of them in other availability zones, as bytes between zones are paid for. Each zone of 60 instances still gets
 * each update from some 60 outside.
 */
const farTargets = 1;

/** Draws some of the other instances, most of them from the own availability zone. */
export function chooseUpdateTargets(live: readonly FleetMember[], ownZone: AvailabilityZoneId, random: RandomSource): readonly string[] {
	const near = drawn(live.filter(({availabilityZone}) => availabilityZone === ownZone), targets - farTargets, random);
	const far = drawn(live.filter(({availabilityZone}) => availabilityZone !== ownZone), targets - near.length, random);
	return [...near, ...far].map(({host}) => host);
}

/**
 * Instances of each other availability zone that pass on to all of their zone what one tells the whole fleet: bytes between
 * zones are paid for, and one that tells 250 others in four zones sends eight datagrams there in place of 250. Where both
 * of a zone are gone or their datagrams lost, its instances learn by the next heartbeat, or from each other.
 */
const relaysPerZone = 2;

export function chooseRelays(live: readonly FleetMember[], ownZone: AvailabilityZoneId, random: RandomSource): readonly string[] {
	const zones = new Set(live.map(({availabilityZone}) => availabilityZone).filter(zone => zone !== ownZone));
	return [...zones]
		.flatMap(zone => drawn(live.filter(({availabilityZone}) => availabilityZone === zone), relaysPerZone, random))
		.map(({host}) => host);
}

function drawn(members: readonly FleetMember[], count: number, random: RandomSource): readonly FleetMember[] {
	const left = [...members];
	return Array.from({length: Math.min(count, left.length)}, () => left.splice(random.nextInteger(left.length), 1)[0]!);
}
