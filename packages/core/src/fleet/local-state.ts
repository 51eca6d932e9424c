/** What an instance reports of itself, and how urgently others must know. */
import type {FleetMember} from './fleet-member.js';

/** What the others keep of an instance beside its place. */
export type LocalFlags = Pick<FleetMember, 'ready' | 'leaving' | 'reachesStore'>;

export type LocalStateChange =
	| 'unchanged'
	/** Callers must not be sent here any more. */
	| 'withdrawn'
	/** Anything else. */
	| 'changed';

/** Counts the changes: of two states of one process the one with the higher revision holds. */
export class LocalState {
	#revision = 0;
	#flags: LocalFlags | undefined;

	get revision(): number {
		return this.#revision;
	}

	/** Takes note of what it says now. */
	setFlags(flags: LocalFlags): LocalStateChange {
		const before = this.#flags;
		if (before !== undefined && isSame(before, flags)) {
			return 'unchanged';
		}

		this.#flags = {ready: flags.ready, leaving: flags.leaving, reachesStore: flags.reachesStore};
		this.#revision += 1;
		return before !== undefined && isOffered(before) && !isOffered(flags) ? 'withdrawn' : 'changed';
	}

	/**
	 * Another instance holds this one for lost.
	 *
	 * @param revision - of the state that it knew
	 * @returns whether the revision was raised, so that others believe that it lives
	 */
	refute(revision: number): boolean {
		if (revision < this.#revision) {
			return false;
		}

		this.#revision = revision + 1;
		return true;
	}
}

function isOffered({ready, leaving}: LocalFlags): boolean {
	return ready && !leaving;
}

function isSame(left: LocalFlags, right: LocalFlags): boolean {
	return left.ready === right.ready && left.leaving === right.leaving && left.reachesStore === right.reachesStore;
}
