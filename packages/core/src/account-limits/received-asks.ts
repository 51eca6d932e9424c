/** Recognizes repeated questions, so that tokens are taken once however often a datagram arrives. */
import type {Clock} from '../model/clock.js';
import type {LimitAnswer} from './limit-message.js';

/** Longer than a question is repeated. */
const retentionMs = 1500;
/** Bounds the memory, also with hostile senders. */
const maximumEntries = 10_000;

type Ask = {readonly receivedAtMs: number; reply: {readonly answer: LimitAnswer | undefined} | undefined};

export class ReceivedAsks {
	readonly #clock: Clock;
	/** By sender and sequence number, oldest first. */
	readonly #asks = new Map<string, Ask>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records a question. @returns the earlier one if it is a repetition; its `reply` is undefined until it was answered */
	record(from: string, sequence: number): Pick<Ask, 'reply'> | undefined {
		this.#forgetOld();
		const key = `${from} ${sequence}`;
		const known = this.#asks.get(key);
		if (known === undefined) {
			this.#asks.set(key, {receivedAtMs: this.#clock.monotonicMs(), reply: undefined});
		}

		return known;
	}

	recordAnswer(from: string, sequence: number, answer: LimitAnswer | undefined): void {
		const ask = this.#asks.get(`${from} ${sequence}`);
		if (ask !== undefined) {
			ask.reply = {answer};
		}
	}

	#forgetOld(): void {
		const oldestMs = this.#clock.monotonicMs() - retentionMs;
		for (const [key, {receivedAtMs}] of this.#asks) {
			if (receivedAtMs >= oldestMs && this.#asks.size < maximumEntries) {
				return;
			}

			this.#asks.delete(key);
		}
	}
}
