/** Records of one topic that can't be read: one log line for each while it stays. */
import type {KeyedChange} from '@cairnbank/core/registry';
import type {Logger} from '../../logging/create-logger.js';
import type {Metrics} from '../../metrics/metrics.js';

/** Others may write any number of keys; beyond this they are passed over without a line. */
const maximumKept = 256;

export type UnreadableRecordsOptions = {
	readonly topic: string;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

export class UnreadableRecords {
	readonly #options: UnreadableRecordsOptions;
	/** Why the newest record of a key can't be read. */
	readonly #faults = new Map<string, string>();

	constructor(options: UnreadableRecordsOptions) {
		this.#options = options;
	}

	/** Records have been read, in their order. */
	read(records: ReadonlyArray<KeyedChange<unknown>>): void {
		for (const {key, fault} of records) {
			if (fault === undefined) {
				this.#faults.delete(key);
			} else {
				this.#note(key, fault);
			}
		}

		this.#options.metrics.unreadableRecords.set({topic: this.#options.topic}, this.#faults.size);
	}

	#note(key: string, fault: string): void {
		if (this.#faults.get(key) === fault || this.#faults.size >= maximumKept) {
			return;
		}

		this.#faults.set(key, fault);
		this.#options.logger.warn('unreadable record passed over', {topic: this.#options.topic, key, message: fault});
	}
}
