/** Collects what this daemon itself observes of an upstream after it received the mark that the upstream is draining. */
import type {Clock} from '../model/clock.js';

export type CleanRequirement = {
	readonly cleanForMs: number;
	readonly cleanAnswers: number;
};

/** Evidence for clearing one mark. Only observations made after this daemon received the mark count. */
export class MarkEvidence {
	readonly #clock: Clock;
	readonly #receivedAtMs: number;
	#listedLeavingAtMs: number | undefined;
	#cleanSinceMs: number | undefined;
	#cleanAnswers = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#receivedAtMs = clock.monotonicMs();
	}

	/** Records an answer without the draining header. @returns whether the answers suffice to clear the mark */
	addCleanAnswer(sentAtMs: number, requirement: CleanRequirement): boolean {
		if (sentAtMs <= this.#receivedAtMs) {
			return false;
		}

		this.#cleanSinceMs ??= this.#clock.monotonicMs();
		this.#cleanAnswers += 1;
		const cleanForMs = this.#clock.monotonicMs() - this.#cleanSinceMs;
		return this.#cleanAnswers >= requirement.cleanAnswers && cleanForMs >= requirement.cleanForMs;
	}

	addListedLeaving(requestedAtMs: number): void {
		this.#listedLeavingAtMs ??= requestedAtMs;
	}

	/** Whether the list requested at `requestedAtMs` shows the upstream live again, after an earlier list had shown it leaving. */
	isListedLiveAgain(requestedAtMs: number): boolean {
		return this.#listedLeavingAtMs !== undefined && requestedAtMs > this.#listedLeavingAtMs;
	}

	/** Discards the answers recorded so far. */
	reset(): void {
		this.#cleanSinceMs = undefined;
		this.#cleanAnswers = 0;
	}
}
