/** Which instances a caller is sent to. */
import type {AvailabilityZoneId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';
import type {FleetMember} from './fleet-member.js';

/**
 * From this many instances in a caller's availability zone on, it is sent to those alone: its requests and answers then
 * stay within the zone. Fewer would feel each other's loss and each other's bursts.
 */
const enoughInZone = 12;

export type Addressable = Pick<FleetMember, 'host' | 'availabilityZone'>;

/**
 * Chooses the same instances at each answer, whichever instance gives it, as callers drop open connections to those that
 * a new answer doesn't name.
 *
 * @param offered - instances that serve callers
 * @param callerZone - availability zone of the caller
 * @param maximum - greatest number of addresses in an answer
 */
export function chooseAddresses<Member extends Addressable>(offered: readonly Member[], callerZone: AvailabilityZoneId, maximum: number): readonly Member[] {
	const near = offered.filter(({availabilityZone}) => availabilityZone === callerZone);
	const named = near.length >= enoughInZone ? near : offered;
	if (named.length <= maximum) {
		return named;
	}

	const ordered = named.map(member => ({member, order: hashText(`${callerZone} ${member.host}`)}));
	return ordered.sort((left, right) => left.order - right.order).slice(0, maximum).map(({member}) => member);
}
