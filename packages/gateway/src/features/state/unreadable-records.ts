/** Tracks the records of one topic that can't be decoded, and logs each of them once while it remains the newest of its key. */
import type {KeyedChange} from '@cairnbank/core/registry';
import type {Logger} from '../../logging/create-logger.js';
import type {Metrics} from '../../metrics/metrics.js';

/** Maximum number of unreadable keys that are tracked. Other systems may write any number of keys; the ones beyond this limit are skipped without a log line. */
const maximumTrackedKeys = 256;

export type UnreadableRecordsOptions = {
	readonly topic: string;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

export class UnreadableRecords {
	readonly #options: UnreadableRecordsOptions;
	/** For each key, the reason that its newest record can't be decoded. */
	readonly #faults = new Map<string, string>();

	constructor(options: UnreadableRecordsOptions) {
		this.#options = options;
	}

	/** Updates the tracked faults from records that were read, in the order of their offsets. */
	update(records: ReadonlyArray<KeyedChange<unknown>>): void {
		for (const {key, fault} of records) {
			if (fault === undefined) {
				this.#faults.delete(key);
			} else {
				this.#recordFault(key, fault);
			}
		}

		this.#options.metrics.unreadableRecords.set({topic: this.#options.topic}, this.#faults.size);
	}

	#recordFault(key: string, fault: string): void {
		if (this.#faults.get(key) === fault || this.#faults.size >= maximumTrackedKeys) {
			return;
		}

		this.#faults.set(key, fault);
		this.#options.logger.warn('unreadable record passed over', {topic: this.#options.topic, key, message: fault});
	}
}
