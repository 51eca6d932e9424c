/** Reads a stream page by page, for as long as the daemon runs and through any outage. */
import type {RandomSource} from '@cairnbank/core';
import {configurationStream} from '@cairnbank/core/configuration';
import type {LogClient, LogError, LogPage} from '@cairnbank/protocol/log';
import type {LogSettings} from '../../settings/log-settings.js';
import {pause} from '../../kernel/pause.js';

/** An inventory may have more than 100 kB. */
const recordsPerRead = 50;
const firstRetryDelayMs = 50;
/** Low, as a change may be accepted as soon as the log is back. */
const maximumRetryDelayMs = 500;
/** Failures in a row from which on a patient read runs beside the others, so that a slow log is read as well. */
const failuresBeforePatience = 3;
/** How much longer than the log's timeout it is waited for. */
const patientWaitMs = 10_000;

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
	#patient: AbortController | undefined;

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
				this.#take(page.value);
				continue;
			}

			this.#failures += 1;
			this.#options.onError(page.error);
			if (this.#failures >= failuresBeforePatience && this.#patient === undefined) {
				void this.#readPatiently();
			}

			await pause(this.#retryDelayMs(), signal);
		}

		this.#patient?.abort();
	}

	/** One long read. It fails alone: a log that hangs would hold it for long, and is tried again by the others meanwhile. */
	async #readPatiently(): Promise<void> {
		const patient = new AbortController();
		this.#patient = patient;
		const page = await this.#read(patientWaitMs, patient.signal);
		if (this.#patient === patient) {
			this.#patient = undefined;
		}

		if (page.isOk() && !patient.signal.aborted) {
			this.#take(page.value);
		}
	}

	#take(page: LogPage): void {
		this.#failures = 0;
		this.#patient?.abort();
		this.#patient = undefined;
		this.#options.onPage(page);
	}

	async #read(waitMs: number, signal: AbortSignal) {
		const {log, nextOffset} = this.#options;
		return log.read(configurationStream, {
			fromOffset: nextOffset(), limit: recordsPerRead, waitMs, signal,
		});
	}

	/** The log holds an empty answer back for this long, and the client gives up only after it. */
	#waitMs(): number {
		return this.#failures > 0 || this.#options.isBehind() ? 0 : this.#options.settings.pollWaitMs;
	}

	/** Between half and the whole of a delay that doubles. */
	#retryDelayMs(): number {
		const ceilingMs = Math.min(maximumRetryDelayMs, firstRetryDelayMs * (2 ** Math.min(this.#failures, 10)));
		return ceilingMs * (0.5 + (this.#options.random.next() / 2));
	}
}
