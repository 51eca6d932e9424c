/** Where the processes that hold at-most-once tables are reached; answered by the membership feature. */
import type {Address, IncarnationId, RandomSource} from '@cairnbank/core';
import type {MemberEntry} from '@cairnbank/core/membership';

export type Successor = {
	readonly incarnation: IncarnationId;
	readonly peerAddress: Address;
};

export type OwnerDirectory = {
	/** Peer address of the process that holds the owner's table; nothing where no live one is known. */
	holderAddressOf(owner: IncarnationId): Address | undefined;
	/** Live processes that may take tables over, the preferred first. */
	successors(): readonly Successor[];
};

/** What gossip tells of the other processes. */
export type KnownMembers = {
	peers(): readonly MemberEntry[];
	suspected(): readonly MemberEntry[];
};

/** The directory as gossip knows it. A process that took a table over says so in its own entry. */
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
			// A suspicion may be wrong, and a hand-over to one that is gone fails before its commit.
			return [...live.slice(first), ...live.slice(0, first), ...suspected().filter(({state}) => state === 'live')];
		},
	};
}
