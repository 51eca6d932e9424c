/** Chooses the instances whose addresses are given to a caller. */
import type {AvailabilityZoneId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';
import type {FleetMember} from './fleet-member.js';

/**
 * A caller is sent only to its own availability zone where at least this many instances are there, so that its traffic stays
 * within the zone. With fewer, the loss of one instance or a burst at one would overload the others.
 */
const minimumZoneInstances = 12;

/**
 * Instances that have lost their links to upstreams are offered unless at least this share of all has links: fewer could not take all
 * callers, while passing on a request takes them less than serving it.
 */
const minimumReachingRatio = 0.5;

export type Addressable = Pick<FleetMember, 'host' | 'availabilityZone'>;

/**
 * Chooses up to `maximum` instances for a caller. The choice is the same in every answer, whichever instance gives it, because
 * callers close open connections to instances that a new answer doesn't contain.
 *
 * @param offered - instances that serve callers
 * @param callerZone - availability zone of the caller
 * @param maximum - maximum number of addresses in an answer
 */
export function chooseAddresses<Member extends Addressable>(offered: readonly Member[], callerZone: AvailabilityZoneId, maximum: number): readonly Member[] {
	const inZone = offered.filter(({availabilityZone}) => availabilityZone === callerZone);
	const eligible = inZone.length >= minimumZoneInstances ? inZone : offered;
	if (eligible.length <= maximum) {
		return eligible;
	}

	const ordered = eligible.map(member => ({member, order: hashText(`${callerZone} ${member.host}`)}));
	return ordered.sort((left, right) => left.order - right.order).slice(0, maximum).map(({member}) => member);
}

/** Leaves out the instances that have lost their links to upstreams, if enough others remain. */
export function withoutLostLinks<Member extends Pick<FleetMember, 'reachesUpstreams'>>(offered: readonly Member[]): readonly Member[] {
	const reaching = offered.filter(({reachesUpstreams}) => reachesUpstreams);
	return reaching.length >= offered.length * minimumReachingRatio ? reaching : offered;
}
