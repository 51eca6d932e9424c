/** Selects the suspects of the poison guard that are sent with the next digests. */
import type {Suspect} from '@cairnbank/core/poison';

/** Number of digests that carry a suspect after each change of it. */
const transmissionsPerChange = 12;
const maximumSuspects = 64;

type QueuedSuspect = {
	readonly suspect: Suspect;
	readonly text: string;
	remainingTransmissions: number;
};

/** Holds recently changed suspects, each until it was in a limited number of digests. */
export class SuspectQueue {
	readonly #queued = new Map<string, QueuedSuspect>();

	/** Queues suspects that are new or have changed, and returns them. */
	add(suspects: readonly Suspect[]): Suspect[] {
		return suspects.filter(suspect => this.#addOne(suspect));
	}

	/** Returns the suspects for one digest, most recently changed first, and counts one transmission of each. */
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
		this.#queued.set(suspect.fingerprint, {suspect, text, remainingTransmissions: transmissionsPerChange});
		if (this.#queued.size > maximumSuspects) {
			this.#queued.delete(this.#queued.keys().next().value!);
		}

		return true;
	}
}
