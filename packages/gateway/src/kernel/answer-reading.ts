/** Counts one answer that is being read in the memory of all answers, which may end it. */
import type {AnswerMemory} from '@cairnbank/core/connections';
import type {LogFields} from '../logging/create-logger.js';
import type {Context} from './context.js';

export type AnswerReadingOptions = {
	readonly memory: AnswerMemory<AnswerReading>;
	/** Called when the answer has to be given up, with the bytes that were read of it. */
	readonly onOutgrown: (bytes: number) => void;
};

export class AnswerReading {
	readonly #options: AnswerReadingOptions;
	#bytes = 0;
	#readBytes = 0;

	constructor(options: AnswerReadingOptions) {
		this.#options = options;
	}

	/** Bytes read so far, of this answer and those before it. */
	get readBytes(): number {
		return this.#readBytes;
	}

	/** Records bytes that were read, for which longer answers may have to be given up. Returns false if this one was. */
	add(bytes: number): boolean {
		this.#bytes += bytes;
		this.#readBytes += bytes;
		const outgrown = this.#options.memory.read(this, bytes);
		for (const reading of outgrown) {
			reading.#giveUp();
		}

		return !outgrown.includes(this);
	}

	/** Records that the answer is complete, or is given up. */
	end(): void {
		this.#bytes = 0;
		this.#options.memory.end(this);
	}

	#giveUp(): void {
		const bytes = this.#bytes;
		this.#bytes = 0;
		this.#options.onOutgrown(bytes);
	}
}

/** @param fields - what was given up */
export function recordOutgrownAnswer({answerMemory, logger, metrics}: Pick<Context, 'answerMemory' | 'logger' | 'metrics'>, fields: LogFields): void {
	metrics.outgrownAnswers.inc();
	logger.warn('answer given up, as it is the longest and memory is short', {...fields, unfinishedBytes: answerMemory.unfinishedBytes, heldBytes: answerMemory.bytes});
}
