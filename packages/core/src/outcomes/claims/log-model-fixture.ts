/** A model of the log: appends take effect and are reported in any order, or lose their acknowledgement. */
import type {Clock} from '../../model/clock.js';
import type {ClaimBatcher} from './claim-batcher.js';
import type {FoldedRecord} from './claim-fold.js';

type Appender = {readonly batcher: ClaimBatcher; readonly paused: boolean};
type Append = {readonly by: Appender; readonly value: unknown; offset?: number; reported: boolean};

export class LogModel {
	readonly #clock: Clock;
	readonly #retentionMs: number;
	readonly #appends: Append[] = [];
	#records: FoldedRecord[] = [];
	#endOffset = 0;

	constructor(clock: Clock, retentionMs: number) {
		this.#clock = clock;
		this.#retentionMs = retentionMs;
	}

	get earliestOffset(): number {
		return this.#records[0]?.offset ?? this.#endOffset + 1;
	}

	recordsAfter(offset: number, limit: number): readonly FoldedRecord[] {
		return this.#records.filter(record => record.offset > offset).slice(0, limit);
	}

	begin(by: Appender, value: unknown): void {
		this.#appends.push({by, value, reported: false});
	}

	/** One of the appends that have not failed takes effect, maybe long after it was reported in doubt. */
	takeEffect(pick: number): void {
		const open = this.#appends.filter(append => append.offset === undefined);
		const append = open[pick % Math.max(1, open.length)];
		if (append) {
			this.#endOffset += 1;
			append.offset = this.#endOffset;
			this.#records.push({offset: append.offset, appendedAtMs: this.#nowMs, value: append.value});
		}
	}

	/** One appender hears of its append: acknowledged, failed or in doubt. */
	report(pick: number): void {
		const open = this.#appends.filter(append => !append.reported && !append.by.paused);
		const append = open[pick % Math.max(1, open.length)];
		if (!append) {
			return;
		}

		append.reported = true;
		const {offset, by} = append;
		if (pick % 2 > 0) {
			by.batcher.appended({type: 'in-doubt'});
		} else if (offset === undefined) {
			append.offset = Number.NaN;
			by.batcher.appended({type: 'failed'});
		} else {
			by.batcher.appended({type: 'acknowledged', offset});
		}
	}

	/** Forgets what is older than the retention. */
	expire(): void {
		this.#records = this.#records.filter(record => record.appendedAtMs > this.#nowMs - this.#retentionMs);
	}

	get #nowMs(): number {
		return this.#clock.now().getTime();
	}
}
