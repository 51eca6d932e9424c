/** Follows the configuration stream of the log and puts accepted changes in force. */
import {advanceReading, startReading, type ConfigurationState} from '@cairnbank/core/configuration';
import type {LogClient, LogPage} from '@cairnbank/protocol/log';
import {ok, type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';

const recordsPerRead = 500;
const retryDelayMs = 200;

export class ConfigurationTask implements Task {
	readonly name = 'configuration';
	readonly #context: DaemonContext;
	readonly #log: LogClient;
	readonly #stopping = new AbortController();
	#reading = startReading();
	#running: Promise<void> | undefined;

	constructor(context: DaemonContext, log: LogClient) {
		this.#context = context;
		this.#log = log;
	}

	/** The configuration in force. */
	get state(): ConfigurationState {
		return this.#reading.state;
	}

	async start(): Promise<Result<void, StartError>> {
		this.#running = this.#follow();
		return ok(undefined);
	}

	async stop(): Promise<void> {
		this.#stopping.abort();
		await this.#running;
	}

	async #follow(): Promise<void> {
		const {configurationStream, pollWaitMs} = this.#context.settings.log;
		while (!this.#stopping.signal.aborted) {
			const page = await this.#log.read(configurationStream, {
				fromOffset: this.#reading.nextOffset, limit: recordsPerRead, waitMs: pollWaitMs, signal: this.#stopping.signal,
			});
			if (page.isErr()) {
				await pause(retryDelayMs, this.#stopping.signal);
				continue;
			}

			this.#fold(page.value);
		}
	}

	#fold(page: LogPage): void {
		const {acceptedOffset} = this.#reading.state;
		this.#reading = advanceReading(this.#reading, page).reading;
		const {state} = this.#reading;
		if (state.acceptedOffset > acceptedOffset) {
			this.#context.logger.info('configuration in force', {offset: state.acceptedOffset});
			this.#context.bus.send({type: 'configuration-in-force', configuration: state});
		}
	}
}

async function pause(durationMs: number, signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, durationMs);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		}, {once: true});
	});
}
