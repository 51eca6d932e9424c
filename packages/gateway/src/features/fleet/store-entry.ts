/** Enters this instance in the store and lists the instances there, if they would not find each other otherwise. */
import {planEntry, type EntryPlan} from '@cairnbank/core/fleet';
import type {Context} from '../../kernel/context.js';
import type {StateStore} from '../../ports/index.js';

/** Interval for checking whether an entry is needed; an instance must not stay isolated for long. */
const pollIntervalMs = 250;
/** Pause after a failed call. The store may be unreachable for seconds, and others are also found through the seeds. */
const retryMs = 1000;
/** Time over which the instances spread the renewal of their entries after the store was restored. */
const renewSpreadMs = 500;

export type StoreEntryOptions = {
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics' | 'random' | 'settings'>;
	readonly store: Pick<StateStore, 'instances'>;
	readonly hasSeeds: boolean;
	/** Whether a message of another instance was received since the start. */
	readonly hasHeardOthers: () => boolean;
	/** Position of this instance in the order of all live ones. */
	readonly rank: () => number;
	readonly onInstancesFound: (hosts: readonly string[]) => void;
};

export class StoreEntry {
	readonly #options: StoreEntryOptions;
	#startedAtMs = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;
	#isEntered = false;
	#hasListed = false;

	constructor(options: StoreEntryOptions) {
		this.#options = options;
	}

	start(): void {
		this.#startedAtMs = this.#options.context.clock.monotonicMs();
		void this.#poll();
	}

	/** Enters this instance again, as the store may have lost the entry. */
	renew(): void {
		if (!this.#isEntered || this.#isStopped) {
			return;
		}

		this.#isEntered = false;
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			void this.#poll();
		}, this.#options.context.random.next() * renewSpreadMs);
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	async #poll(): Promise<void> {
		const isDone = await this.#execute(this.#plan());
		if (this.#isStopped || this.#isEntered) {
			return;
		}

		this.#timer = setTimeout(() => {
			void this.#poll();
		}, isDone ? pollIntervalMs : retryMs);
	}

	#plan(): EntryPlan {
		const {context: {clock}, hasSeeds, hasHeardOthers, rank} = this.#options;
		return planEntry({
			hasSeeds,
			hasHeardOthers: hasHeardOthers(),
			rank: rank(),
			isEntered: this.#isEntered,
			hasListed: this.#hasListed,
			sinceStartMs: clock.monotonicMs() - this.#startedAtMs,
		});
	}

	/** Executes the planned calls. @returns whether all of them succeeded */
	async #execute(plan: EntryPlan): Promise<boolean> {
		switch (plan) {
			case 'wait': {
				return true;
			}

			case 'enter': {
				return this.#enter();
			}

			case 'enter-and-list': {
				const isEntered = await this.#enter();
				return isEntered && this.#list();
			}
		}
	}

	async #enter(): Promise<boolean> {
		const {context: {settings, metrics, logger}, store} = this.#options;
		const entered = await store.instances.enter(settings.instanceId, {host: settings.host});
		metrics.storeCalls.inc({call: 'enter', result: entered.isOk() ? 'ok' : 'failed'});
		return entered.match(() => {
			this.#isEntered = true;
			logger.info('entered in the store');
			return true;
		}, error => {
			logger.warn('cannot enter this instance in the store', {...error});
			return false;
		});
	}

	async #list(): Promise<boolean> {
		const {context: {settings, metrics, logger}, store, onInstancesFound} = this.#options;
		const listed = await store.instances.list();
		metrics.storeCalls.inc({call: 'list', result: listed.isOk() ? 'ok' : 'failed'});
		return listed.match(entries => {
			this.#hasListed = true;
			const hosts = entries.map(({host}) => host).filter(host => host !== settings.host);
			logger.info('instances found in the store', {hosts: hosts.join(' ')});
			onInstancesFound(hosts);
			return true;
		}, error => {
			this.#isEntered = false;
			logger.warn('cannot list the instances in the store', {...error});
			return false;
		});
	}
}
