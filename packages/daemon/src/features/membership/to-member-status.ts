/** Converts a member entry to the status that operators see. */
import type {MemberEntry} from '@cairnbank/core/membership';
import type {MemberStatus} from '@cairnbank/protocol/operators';

export function toMemberStatus(entry: MemberEntry, isSuspected: boolean): MemberStatus {
	const {instance, incarnation, availabilityZone, state, configurationOffset} = entry;
	return {
		id: instance, incarnation, availabilityZone, state: isSuspected && state !== 'leaving' ? 'suspected' : state, acceptedOffset: configurationOffset,
	};
}
