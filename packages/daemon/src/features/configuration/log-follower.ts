/** Reads the configuration stream page by page for as long as the daemon runs, with retries during outages of the log. */
import type {RandomSource} from '@cairnbank/core';
import {configurationStream} from '@cairnbank/core/configuration';
import type {LogClient, LogError, LogPage} from '@cairnbank/protocol/log';
import type {LogSettings} from '../../settings/log-settings.js';
import {pause} from '../../kernel/pause.js';

/** Low, because a single inventory may be larger than 100 kB. */
const recordsPerRead = 50;
const firstRetryDelayMs = 50;
/** Low, because changes may be accepted as soon as the log is available again. */
const maximumRetryDelayMs = 500;
/** Number of consecutive failures after which a long read runs in parallel to the retries, so that a slow log can be read too. */
const failuresBeforeLongRead = 3;
/** Time that a long read waits in addition to the timeout of the log. */
const longReadWaitMs = 10_000;

export type LogFollowerOptions = {
	readonly log: LogClient;
	readonly settings: LogSettings;
	readonly random: RandomSource;
	nextOffset(): number;
	/** Returns whether records are still unread after the last page, or no page was read yet. */
	isBehind(): boolean;
	onPage(page: LogPage): void;
	onError(error: LogError): void;
};

export class LogFollower {
	readonly #options: LogFollowerOptions;
	#failures = 0;
	#longRead: AbortController | undefined;

	constructor(options: LogFollowerOptions) {
		this.#options = options;
	}

	/** Resolves once `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const page = await this.#read(this.#waitMs(), signal);
			if (signal.aborted) {
				break;
			}

			if (page.isOk()) {
				this.#acceptPage(page.value);
				continue;
			}

			this.#failures += 1;
			this.#options.onError(page.error);
			if (this.#failures >= failuresBeforeLongRead && this.#longRead === undefined) {
				void this.#startLongRead();
			}

			await pause(this.#retryDelayMs(), signal);
		}

		this.#longRead?.abort();
	}

	/**
	 * Runs one long read. Its failure is ignored: if the log hangs, this read may block for a long time, and the retries
	 * continue meanwhile.
	 */
	async #startLongRead(): Promise<void> {
		const longRead = new AbortController();
		this.#longRead = longRead;
		const page = await this.#read(longReadWaitMs, longRead.signal);
		if (this.#longRead === longRead) {
			this.#longRead = undefined;
		}

		if (page.isOk() && !longRead.signal.aborted) {
			this.#acceptPage(page.value);
		}
	}

	#acceptPage(page: LogPage): void {
		this.#failures = 0;
		this.#longRead?.abort();
		this.#longRead = undefined;
		this.#options.onPage(page);
	}

	async #read(waitMs: number, signal: AbortSignal) {
		const {log, nextOffset} = this.#options;
		return log.read(configurationStream, {
			fromOffset: nextOffset(), limit: recordsPerRead, waitMs, signal,
		});
	}

	/** Returns the time for which the log may delay an empty answer. The client extends its timeout by this time. */
	#waitMs(): number {
		return this.#failures > 0 || this.#options.isBehind() ? 0 : this.#options.settings.pollWaitMs;
	}

	/** Returns an exponential delay with random jitter: between 50% and 100% of a limit that doubles with each failure. */
	#retryDelayMs(): number {
		const limitMs = Math.min(maximumRetryDelayMs, firstRetryDelayMs * (2 ** Math.min(this.#failures, 10)));
		return limitMs * (0.5 + (this.#options.random.next() / 2));
	}
}
