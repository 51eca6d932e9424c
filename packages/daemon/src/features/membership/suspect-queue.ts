/** Which of the poison guard's suspects travel with the next digests. */
import type {Suspect} from '@cairnbank/core/poison';

const transmissions = 12;
const maximumSuspects = 64;

type QueuedSuspect = {
	readonly suspect: Suspect;
	readonly text: string;
	remainingTransmissions: number;
};

/** Suspects that changed lately, each for a bounded number of digests. */
export class SuspectQueue {
	readonly #queued = new Map<string, QueuedSuspect>();

	/** Lets suspects travel. @returns those whose content is new here */
	add(suspects: readonly Suspect[]): Suspect[] {
		return suspects.filter(suspect => this.#addOne(suspect));
	}

	/** The suspects for one digest, the latest first. */
	takeForDigest(): Suspect[] {
		const due = [...this.#queued.values()].filter(({remainingTransmissions}) => remainingTransmissions > 0).toReversed();
		for (const queued of due) {
			queued.remainingTransmissions -= 1;
		}

		return due.map(({suspect}) => suspect);
	}

	#addOne(suspect: Suspect): boolean {
		const text = JSON.stringify(suspect);
		if (this.#queued.get(suspect.fingerprint)?.text === text) {
			return false;
		}

		this.#queued.delete(suspect.fingerprint);
		this.#queued.set(suspect.fingerprint, {suspect, text, remainingTransmissions: transmissions});
		if (this.#queued.size > maximumSuspects) {
			this.#queued.delete(this.#queued.keys().next().value!);
		}

		return true;
	}
}
