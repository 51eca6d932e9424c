/** The state that an instance reports of itself, and how urgently others must learn of a change. */
import type {FleetMember} from './fleet-member.js';

/** The part of the state of an instance, besides its address and zone, that others pass on. */
export type LocalFlags = Pick<FleetMember, 'ready' | 'leaving' | 'reachesStore' | 'reachesUpstreams'>;

export type LocalStateChange =
	| 'unchanged'
	/** Callers must not be sent to this instance any more. */
	| 'withdrawn'
	/** Any other change. */
	| 'changed';

/** Counts the changes in a revision. Of two states of one process, the one with the higher revision is current. */
export class LocalState {
	#revision = 0;
	#flags: LocalFlags | undefined;

	get revision(): number {
		return this.#revision;
	}

	/** Sets the current state and increments the revision if it differs from the previous one. */
	setFlags(flags: LocalFlags): LocalStateChange {
		const before = this.#flags;
		if (before !== undefined && isSame(before, flags)) {
			return 'unchanged';
		}

		this.#flags = {
			ready: flags.ready, leaving: flags.leaving, reachesStore: flags.reachesStore, reachesUpstreams: flags.reachesUpstreams,
		};
		this.#revision += 1;
		return before !== undefined && isOffered(before) && !isOffered(flags) ? 'withdrawn' : 'changed';
	}

	/**
	 * Refutes that this instance is lost, by raising the revision above the one that the other instance knew.
	 *
	 * @param revision - revision that the other instance declared lost
	 * @returns whether the revision was raised; otherwise the state is newer than that already
	 */
	refute(revision: number): boolean {
		if (revision < this.#revision) {
			return false;
		}

		this.#revision = revision + 1;
		return true;
	}
}

function isOffered({ready, leaving, reachesUpstreams}: LocalFlags): boolean {
	return ready && !leaving && reachesUpstreams;
}

function isSame(left: LocalFlags, right: LocalFlags): boolean {
	return left.ready === right.ready && left.leaving === right.leaving && left.reachesStore === right.reachesStore
		&& left.reachesUpstreams === right.reachesUpstreams;
}
