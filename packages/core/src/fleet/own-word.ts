/** What an instance says of itself, and how urgently others must know. */
import type {FleetMember} from './fleet-member.js';

/** What the others keep of an instance beside its place. */
export type OwnFlags = Pick<FleetMember, 'ready' | 'leaving' | 'reachesStore'>;

export type WordChange =
	| 'unchanged'
	/** Callers must not be sent here any more. */
	| 'withdrawn'
	/** Anything else. */
	| 'changed';

/** Counts the changes: of two words of one process the one with the higher revision holds. */
export class OwnWord {
	#revision = 0;
	#flags: OwnFlags | undefined;

	get revision(): number {
		return this.#revision;
	}

	/** Takes note of what it says now. */
	note(flags: OwnFlags): WordChange {
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
	 * @param revision - of the word that it knew
	 * @returns whether the revision was raised, so that others believe that it lives
	 */
	contradict(revision: number): boolean {
		if (revision < this.#revision) {
			return false;
		}

		this.#revision = revision + 1;
		return true;
	}
}

function isOffered({ready, leaving}: OwnFlags): boolean {
	return ready && !leaving;
}

function isSame(left: OwnFlags, right: OwnFlags): boolean {
	return left.ready === right.ready && left.leaving === right.leaving && left.reachesStore === right.reachesStore;
}
