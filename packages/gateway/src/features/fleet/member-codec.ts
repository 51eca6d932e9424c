/** Encodes the flags of members, and updates about members by availability zone. */
import type {AvailabilityZoneId, IncarnationId} from '@cairnbank/core';
import type {FleetMember, MemberUpdate} from '@cairnbank/core/fleet';
import * as v from 'valibot';

const readyFlag = 1;
const leavingFlag = 2;
const reachesStoreFlag = 4;
const lostFlag = 64;
/** Set while an instance has lost its links, so that the flags of the others keep their length. */
const noUpstreamsFlag = 256;

export type MemberFlags = Pick<FleetMember, 'ready' | 'leaving' | 'reachesStore' | 'reachesUpstreams'>;

/** Members by availability zone, each with host, incarnation, flags and revision. */
export const membersSchema = v.tuple([
	v.literal('m'), v.array(v.tuple([v.string(), v.array(v.tuple([v.string(), v.string(), v.number(), v.number()]))])),
]);

export function memberFlags({ready, leaving, reachesStore, reachesUpstreams}: MemberFlags): number {
	return (ready ? readyFlag : 0) + (leaving ? leavingFlag : 0) + (reachesStore ? reachesStoreFlag : 0) + (reachesUpstreams ? 0 : noUpstreamsFlag);
}

export function decodeMemberFlags(flags: number): MemberFlags {
	return {
		ready: hasFlag(flags, readyFlag),
		leaving: hasFlag(flags, leavingFlag),
		reachesStore: hasFlag(flags, reachesStoreFlag),
		reachesUpstreams: !hasFlag(flags, noUpstreamsFlag),
	};
}

export function encodeMembers(members: readonly MemberUpdate[]): Array<v.InferInput<typeof membersSchema>[1][number]> {
	const byZone = new Map<string, Array<[string, string, number, number]>>();
	for (const member of members) {
		const ofZone = byZone.get(member.availabilityZone) ?? [];
		ofZone.push([member.host, member.incarnation, memberFlags(member) + (member.isLost ? lostFlag : 0), member.revision]);
		byZone.set(member.availabilityZone, ofZone);
	}

	return [...byZone];
}

export function decodeMembers([, byZone]: v.InferOutput<typeof membersSchema>): readonly MemberUpdate[] {
	return byZone.flatMap(([zone, members]) => members.map(([host, incarnation, flags, revision]) => ({
		host,
		incarnation: incarnation as IncarnationId,
		availabilityZone: zone as AvailabilityZoneId,
		...decodeMemberFlags(flags),
		isLost: hasFlag(flags, lostFlag),
		revision,
	})));
}

export function hasFlag(flags: number, flag: number): boolean {
	return Math.floor(flags / flag) % 2 === 1;
}
