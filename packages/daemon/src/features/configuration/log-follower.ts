/** Reads a stream page by page, for as long as the daemon runs and through any outage. */
import type {RandomSource} from '@cairnbank/core';
import {configurationStream} from '@cairnbank/core/configuration';
import type {LogClient, LogError, LogPage} from '@cairnbank/protocol/log';
import type {LogSettings} from '../../settings/log-settings.js';
import {pause} from '../../kernel/pause.js';

const recordsPerRead = 500;
const firstRetryDelayMs = 50;
/** Low, as a change may be accepted as soon as the log is back. */
const maximumRetryDelayMs = 1000;
/** One in so many failed reads is patient, so that a slow log is read at last and a hung one is soon tried again. */
const patientEvery = 4;
const patientWaitMs = 4000;

export type LogFollowerOptions = {
	readonly log: LogClient;
	readonly settings: LogSettings;
	readonly random: RandomSource;
	nextOffset(): number;
	/** Whether the last page left something to read. */
	isBehind(): boolean;
	onPage(page: LogPage): void;
	onError(error: LogError): void;
};

export class LogFollower {
	readonly #options: LogFollowerOptions;
	#failures = 0;

	constructor(options: LogFollowerOptions) {
		this.#options = options;
	}

	/** Resolves once `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const page = await this.#read(signal);
			if (signal.aborted) {
				return;
			}

			if (page.isOk()) {
				this.#failures = 0;
				this.#options.onPage(page.value);
				continue;
			}

			this.#failures += 1;
			this.#options.onError(page.error);
			await pause(this.#retryDelayMs(), signal);
		}
	}

	async #read(signal: AbortSignal) {
		const {log, nextOffset} = this.#options;
		return log.read(configurationStream, {
			fromOffset: nextOffset(), limit: recordsPerRead, waitMs: this.#waitMs(), signal,
		});
	}

	/** The log holds an empty answer back for this long, and the client gives up only after it. */
	#waitMs(): number {
		if (this.#failures > 0 && this.#failures % patientEvery === 0) {
			return patientWaitMs;
		}

		return this.#failures > 0 || this.#options.isBehind() ? 0 : this.#options.settings.pollWaitMs;
	}

	/** Between half and the whole of a delay that doubles. */
	#retryDelayMs(): number {
		const ceilingMs = Math.min(maximumRetryDelayMs, firstRetryDelayMs * (2 ** Math.min(this.#failures, 10)));
		return ceilingMs * (0.5 + (this.#options.random.next() / 2));
	}
}
