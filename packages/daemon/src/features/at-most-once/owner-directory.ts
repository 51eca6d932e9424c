/** Where the processes that hold at-most-once tables are reached; answered by the membership feature. */
import type {Address, IncarnationId} from '@cairnbank/core';

export type Successor = {
	readonly incarnation: IncarnationId;
	readonly peerAddress: Address;
};

export type OwnerDirectory = {
	/** Peer address of the process that holds the owner's table; nothing where no live one is known. */
	holderOf(owner: IncarnationId): Address | undefined;
	/** Live processes that may take tables over, the preferred first. */
	successors(): readonly Successor[];
};

/** Knows nobody: the only instance. */
export const emptyDirectory: OwnerDirectory = {
	holderOf: () => undefined,
	successors: () => [],
};
