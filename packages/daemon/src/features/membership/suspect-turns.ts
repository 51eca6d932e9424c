/** Which of the poison guard's suspects travel with the next digests. */
import type {Suspect} from '@cairnbank/core/poison';

const transmissions = 12;
const maximumSuspects = 64;

type Turn = {
	readonly suspect: Suspect;
	readonly text: string;
	left: number;
};

/** Suspects that changed lately, each for a bounded number of digests. */
export class SuspectTurns {
	readonly #turns = new Map<string, Turn>();

	/** Lets suspects travel. @returns those whose content is new here */
	renew(suspects: readonly Suspect[]): Suspect[] {
		return suspects.filter(suspect => this.#renewOne(suspect));
	}

	/** The suspects for one digest, the latest first. */
	take(): Suspect[] {
		const due = [...this.#turns.values()].filter(({left}) => left > 0).toReversed();
		for (const turn of due) {
			turn.left -= 1;
		}

		return due.map(({suspect}) => suspect);
	}

	#renewOne(suspect: Suspect): boolean {
		const text = JSON.stringify(suspect);
		if (this.#turns.get(suspect.fingerprint)?.text === text) {
			return false;
		}

		this.#turns.delete(suspect.fingerprint);
		this.#turns.set(suspect.fingerprint, {suspect, text, left: transmissions});
		if (this.#turns.size > maximumSuspects) {
			this.#turns.delete(this.#turns.keys().next().value!);
		}

		return true;
	}
}
