/** One stream of the log stand-in: records with offsets from 1, subject to retention. */
import type {Clock} from '@cairnbank/core';
import type {LogPage, LogRecord} from '@cairnbank/protocol';

export type LogRetention = {
	readonly maximumRecords?: number;
	readonly maximumAgeMs?: number;
};

/** Stores the records in order and wakes waiting readers on each append. */
export class LogStream {
	readonly #clock: Clock;
	readonly #waitingReaders = new Set<() => void>();
	#records: LogRecord[] = [];
	#endOffset = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get endOffset(): number {
		return this.#endOffset;
	}

	append(value: unknown): number {
		this.#endOffset += 1;
		this.#records.push({offset: this.#endOffset, appendedAt: this.#clock.now().toISOString(), value});
		for (const wake of this.#waitingReaders) {
			wake();
		}

		return this.#endOffset;
	}

	/** Drops records that exceed the retention and all records below `beforeOffset`. */
	expire(retention: LogRetention, beforeOffset = 0): void {
		const count = retention.maximumRecords ?? Number.POSITIVE_INFINITY;
		const oldestMs = this.#clock.now().getTime() - (retention.maximumAgeMs ?? Number.POSITIVE_INFINITY);
		const lowest = Math.max(beforeOffset, this.#endOffset - count + 1);
		this.#records = this.#records.filter(record => record.offset >= lowest && Date.parse(record.appendedAt) >= oldestMs);
	}

	readPage(fromOffset: number, limit: number): LogPage {
		const records = this.#records.filter(record => record.offset >= fromOffset).slice(0, limit);
		return {
			records,
			earliestOffset: this.#records[0]?.offset ?? this.#endOffset + 1,
			endOffset: this.#endOffset,
		};
	}

	/** Resolves on the next append, or after `waitMs`. */
	async waitForAppend(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.#waitingReaders.delete(done);
				resolve();
			};

			const timer = setTimeout(done, waitMs);
			this.#waitingReaders.add(done);
		});
	}
}
