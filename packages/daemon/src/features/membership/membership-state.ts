/** Creates the membership state of one process and answers queries on it. */
import type {Address, IncarnationId} from '@cairnbank/core';
import {
	DrainMarkSet, GossipState, LeavingAddresses, MemberTable, type MemberEntry,
} from '@cairnbank/core/membership';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {MemberCounts} from './membership-metrics.js';

export type MembershipState = {
	readonly table: MemberTable;
	readonly drainMarks: DrainMarkSet;
	readonly gossip: GossipState;
	readonly leavingAddresses: LeavingAddresses;
};

export type OwnAddresses = {
	readonly callerAddress: Address;
	readonly peerAddress: Address;
};

function createOwnEntry({settings, incarnation}: DaemonContext, addresses: OwnAddresses): MemberEntry {
	return {
		...addresses,
		instance: settings.instanceId,
		incarnation,
		heartbeat: 0,
		state: 'starting',
		availabilityZone: settings.availabilityZone,
		configurationOffset: 0,
		configurationHash: '',
		callsPerSecond: 0,
	};
}

export function createMembershipState(context: DaemonContext, addresses: OwnAddresses): MembershipState {
	const {clock, settings: {membership}} = context;
	const timing = membership.gossip;
	const table = new MemberTable({self: createOwnEntry(context, addresses), clock, timing});
	const drainMarks = new DrainMarkSet({clock, cleanForMs: membership.cleanForMs, cleanAnswers: membership.cleanAnswers});
	return {
		table, drainMarks, gossip: new GossipState({table, drainMarks, timing}), leavingAddresses: new LeavingAddresses(),
	};
}

/** Returns the incarnation that was heard from most recently at a peer address, or undefined if no member is known there. */
export function incarnationAt({table}: MembershipState, peerAddress: Address): IncarnationId | undefined {
	const members = table.others().filter(({entry}) => entry.peerAddress === peerAddress);
	return members.sort((a, b) => b.heardAtMs - a.heardAtMs)[0]?.entry.incarnation;
}

/** Counts members and draining upstreams. All counts are 0 before the task has started. */
export function countMembers(state: MembershipState | undefined): MemberCounts {
	return {
		reachable: state?.table.reachable().length ?? 0,
		suspected: state?.table.suspected().length ?? 0,
		drainingUpstreams: state?.drainMarks.all().filter(({draining}) => draining).length ?? 0,
	};
}
