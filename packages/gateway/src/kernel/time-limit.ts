/** Limits the time until something arrives on a socket. */
import type {AnswerMemory} from '@cairnbank/core/connections';
import {untilArrivalsAreRead} from './arrivals.js';

/** Bounds the reading of a long answer, of which a connection takes 64 KiB in one turn of the event loop. */
const maximumTurns = 64;

export class TimeLimit {
	readonly #timer: NodeJS.Timeout;
	#isCleared = false;

	/**
	 * @param answers - the memory of answers, by which it is seen whether more of them is being read
	 * @param onOver - called after the time, once what has arrived by then was read: a process that is short of processor time reads late
	 */
	constructor(durationMs: number, answers: Pick<AnswerMemory<unknown>, 'readBytes'>, onOver: () => void) {
		this.#timer = setTimeout(async () => {
			await this.#untilRead(answers);
			if (!this.#isCleared) {
				onOver();
			}
		}, Math.max(1, durationMs));
	}

	clear(): void {
		this.#isCleared = true;
		clearTimeout(this.#timer);
	}

	async #untilRead(answers: Pick<AnswerMemory<unknown>, 'readBytes'>): Promise<void> {
		let turns = 0;
		await untilArrivalsAreRead(() => answers.readBytes, () => {
			turns += 1;
			return this.#isCleared || turns > maximumTurns;
		});
	}
}
