/** Simulates the log: appends take effect and are reported in any order, or lose their acknowledgement. */
import type {Clock} from '../../model/clock.js';
import type {ClaimBatcher} from './claim-batcher.js';
import type {ClaimStreamRecord} from './claim-index.js';

type Appender = {readonly batcher: ClaimBatcher; readonly isPaused: boolean};
type Append = {readonly appender: Appender; readonly value: unknown; offset?: number; isReported: boolean};

export class LogModel {
	readonly #clock: Clock;
	readonly #retentionMs: number;
	readonly #appends: Append[] = [];
	#records: ClaimStreamRecord[] = [];
	#endOffset = 0;

	constructor(clock: Clock, retentionMs: number) {
		this.#clock = clock;
		this.#retentionMs = retentionMs;
	}

	get earliestOffset(): number {
		return this.#records[0]?.offset ?? this.#endOffset + 1;
	}

	recordsAfter(offset: number, limit: number): readonly ClaimStreamRecord[] {
		return this.#records.filter(record => record.offset > offset).slice(0, limit);
	}

	begin(appender: Appender, value: unknown): void {
		this.#appends.push({appender, value, isReported: false});
	}

	/** Lets one pending append take effect, possibly long after it was reported as in doubt. */
	takeEffect(pick: number): void {
		const pending = this.#appends.filter(append => append.offset === undefined);
		const append = pending[pick % Math.max(1, pending.length)];
		if (append) {
			this.#endOffset += 1;
			append.offset = this.#endOffset;
			this.#records.push({offset: append.offset, appendedAtMs: this.#nowMs, value: append.value});
		}
	}

	/** Reports one append to its appender as acknowledged, failed or in doubt. */
	reportAppend(pick: number): void {
		const unreported = this.#appends.filter(append => !append.isReported && !append.appender.isPaused);
		const append = unreported[pick % Math.max(1, unreported.length)];
		if (!append) {
			return;
		}

		append.isReported = true;
		const {offset, appender} = append;
		if (pick % 2 > 0) {
			appender.batcher.completeAppend({type: 'in-doubt'});
		} else if (offset === undefined) {
			append.offset = Number.NaN;
			appender.batcher.completeAppend({type: 'failed'});
		} else {
			appender.batcher.completeAppend({type: 'acknowledged', offset});
		}
	}

	/** Removes records that are older than the retention time. */
	removeExpired(): void {
		this.#records = this.#records.filter(record => record.appendedAtMs > this.#nowMs - this.#retentionMs);
	}

	get #nowMs(): number {
		return this.#clock.now().getTime();
	}
}
