/** Bounds the memory of answers that wait until their callers have read them. */
import type {Clock} from '../model/clock.js';
import type {AnswerMemory} from './answer-memory.js';

/** While memory is short, callers that have taken nothing for so long are disconnected. Longer than a lossy link takes to recover. */
export const stallMs = 10_000;

type Held = {bytes: number; progressedAtMs: number | undefined};

export class HeldAnswers<Holder> {
	readonly #clock: Clock;
	readonly #memory: Pick<AnswerMemory<unknown>, 'hold' | 'release' | 'isFull'>;
	readonly #held = new Map<Holder, Held>();
	#bytes = 0;

	/** @param memory - counts all answers of the instance, those that are not complete among them */
	constructor(clock: Clock, memory: Pick<AnswerMemory<unknown>, 'hold' | 'release' | 'isFull'>) {
		this.#clock = clock;
		this.#memory = memory;
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** True if requests are to be refused before they run, as their answers could not be held. */
	get isFull(): boolean {
		return this.#memory.isFull;
	}

	/** Records an answer that waits for its turn on the connection of this holder, or for the caller to read it. */
	hold(holder: Holder, bytes: number): void {
		const held = this.#held.get(holder) ?? {bytes: 0, progressedAtMs: undefined};
		held.bytes += bytes;
		this.#held.set(holder, held);
		this.#bytes += bytes;
		this.#memory.hold(bytes);
	}

	/** Records that an answer is being written and that the caller takes it. */
	progressed(holder: Holder): void {
		const held = this.#held.get(holder);
		if (held !== undefined) {
			held.progressedAtMs = this.#clock.monotonicMs();
		}
	}

	/** Records that an answer has been written, or is given up. */
	release(holder: Holder, bytes: number): void {
		const held = this.#held.get(holder);
		if (held === undefined) {
			return;
		}

		this.#bytes -= bytes;
		this.#memory.release(bytes);
		held.bytes -= bytes;
		held.progressedAtMs = undefined;
		if (held.bytes === 0) {
			this.#held.delete(holder);
		}
	}

	/** Returns the holders to disconnect; none while memory is left. */
	stalled(): Holder[] {
		if (!this.isFull) {
			return [];
		}

		const beforeMs = this.#clock.monotonicMs() - stallMs;
		return [...this.#held].filter(([, {progressedAtMs}]) => progressedAtMs !== undefined && progressedAtMs <= beforeMs).map(([holder]) => holder);
	}
}
