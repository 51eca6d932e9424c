/** Enters this instance in the store and learns there who else is; again until both have worked. */
import {err} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StateStore} from '../../ports/index.js';

/** Pause between two tries; the store may be away for seconds, and others are also found by the seeds. */
const enterRetryMs = 1000;

export type StoreEntryOptions = {
	readonly context: Context;
	readonly store: StateStore;
	readonly onOthers: (hosts: readonly string[]) => void;
};

export class StoreEntry {
	readonly #options: StoreEntryOptions;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: StoreEntryOptions) {
		this.#options = options;
	}

	start(): void {
		void this.#enter();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	async #enter(): Promise<void> {
		const {context: {settings, logger, metrics}, store, onOthers} = this.#options;
		const entered = await store.instances.enter(settings.instanceId, {host: settings.host});
		metrics.storeCalls.inc({call: 'enter', result: entered.isOk() ? 'ok' : 'failed'});
		const listed = entered.isOk() ? await store.instances.list() : err(entered.error);
		if (listed.isOk()) {
			metrics.storeCalls.inc({call: 'list', result: 'ok'});
			onOthers(listed.value.map(({host}) => host).filter(host => host !== settings.host));
			logger.info('entered in the store', {others: listed.value.length - 1});
			return;
		}

		logger.warn('cannot enter this instance in the store', {...listed.error});
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.#enter();
			}, enterRetryMs);
		}
	}
}
