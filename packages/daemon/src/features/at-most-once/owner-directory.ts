/** Looks up the peer addresses of processes that hold at-most-once tables, from the lists of the membership feature. */
import type {Address, IncarnationId, RandomSource} from '@cairnbank/core';
import type {MemberEntry} from '@cairnbank/core/membership';

export type Successor = {
	readonly incarnation: IncarnationId;
	readonly peerAddress: Address;
};

export type OwnerDirectory = {
	/** Returns the peer address of the process that holds the owner's table, or undefined if no such process is known. */
	holderAddressOf(owner: IncarnationId): Address | undefined;
	/** Returns live processes that may take tables over, in order of preference. */
	successors(): readonly Successor[];
};

/** Other processes known through gossip. */
export type KnownMembers = {
	peers(): readonly MemberEntry[];
	suspected(): readonly MemberEntry[];
};

/** Creates a directory from gossip. A process that took tables over lists their owners in its own member entry. */
export function createOwnerDirectory({peers, suspected}: KnownMembers, random: RandomSource): OwnerDirectory {
	return {
		holderAddressOf(owner) {
			const known = peers();
			const holder = known.find(({holdsTablesOf}) => holdsTablesOf?.includes(owner)) ?? known.find(({incarnation}) => incarnation === owner);
			return holder?.peerAddress;
		},
		successors() {
			const live = peers().filter(({state}) => state === 'live');
			const first = random.nextInteger(Math.max(1, live.length));
			// Suspected processes are tried last: a suspicion may be wrong, and a hand-over to a stopped process fails before its commit.
			return [...live.slice(first), ...live.slice(0, first), ...suspected().filter(({state}) => state === 'live')];
		},
	};
}
