/** Enters this instance in the store and learns there who else is; again until both have worked. */
import {err, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StateStore, StoreError} from '../../ports/index.js';

/** Pause between two tries; the store may be away for seconds, and others are also found by the seeds. */
const enterRetryMs = 1000;

export type StoreEntryOptions = {
	readonly context: Context;
	readonly store: StateStore;
	readonly onOthers: (hosts: readonly string[]) => void;
	/** The store knew nothing of an instance at this host. */
	readonly onFirstInPlace: () => void;
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
		const {context: {settings: {host}, logger}, onOthers, onFirstInPlace} = this.#options;
		const before = await this.#list();
		// Entered before the others are read, so that of two that start together one sees the other.
		const entered = before.isOk() ? await this.#putEntry() : err(before.error);
		const listed = entered.isOk() ? await this.#list() : err(entered.error);
		if (before.isOk() && listed.isOk()) {
			const isFirst = !before.value.includes(host);
			if (isFirst) {
				onFirstInPlace();
			}

			onOthers(listed.value.filter(other => other !== host));
			logger.info('entered in the store', {others: listed.value.length - 1, isFirst});
			return;
		}

		logger.warn('cannot enter this instance in the store', {...(listed.isErr() ? listed.error : {})});
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.#enter();
			}, enterRetryMs);
		}
	}

	async #putEntry(): Promise<Result<void, StoreError>> {
		const {context: {settings, metrics}, store} = this.#options;
		const entered = await store.instances.enter(settings.instanceId, {host: settings.host});
		metrics.storeCalls.inc({call: 'enter', result: entered.isOk() ? 'ok' : 'failed'});
		return entered;
	}

	async #list(): Promise<Result<readonly string[], StoreError>> {
		const {context: {metrics}, store} = this.#options;
		const listed = await store.instances.list();
		metrics.storeCalls.inc({call: 'list', result: listed.isOk() ? 'ok' : 'failed'});
		return listed.map(entries => entries.map(({host}) => host));
	}
}
