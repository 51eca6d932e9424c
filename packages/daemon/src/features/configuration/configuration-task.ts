/** Follows the configuration stream of the log and puts accepted changes in force. */
import {changeSchema, emptyRules, type Change} from '@cairnbank/core';
import type {ConfigurationState} from '@cairnbank/core/configuration';
import type {LogClient, LogRecord} from '@cairnbank/protocol/log';
import {ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';

const recordsPerRead = 500;
const retryDelayMs = 200;
const changeRecordSchema = z.object({type: z.literal('change'), change: changeSchema});

const initialState: ConfigurationState = {
	throughOffset: 0,
	acceptedOffset: 0,
	inventory: {kind: 'inventory', services: []},
	rules: emptyRules,
	drained: new Set(),
};

export class ConfigurationTask implements Task {
	readonly name = 'configuration';
	readonly #context: DaemonContext;
	readonly #log: LogClient;
	readonly #stopping = new AbortController();
	#state = initialState;
	#running: Promise<void> | undefined;

	constructor(context: DaemonContext, log: LogClient) {
		this.#context = context;
		this.#log = log;
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
				fromOffset: this.#state.throughOffset + 1, limit: recordsPerRead, waitMs: pollWaitMs, signal: this.#stopping.signal,
			});
			if (page.isErr()) {
				await pause(retryDelayMs, this.#stopping.signal);
				continue;
			}

			this.#fold(page.value.records);
		}
	}

	#fold(records: readonly LogRecord[]): void {
		const before = this.#state;
		for (const record of records) {
			const parsed = changeRecordSchema.safeParse(record.value);
			this.#state = {...this.#state, throughOffset: record.offset};
			if (parsed.success) {
				this.#state = {...applyChange(this.#state, parsed.data.change), acceptedOffset: record.offset};
			}
		}

		if (this.#state.acceptedOffset > before.acceptedOffset) {
			this.#context.logger.info('configuration in force', {offset: this.#state.acceptedOffset});
			this.#context.bus.send({type: 'configuration-in-force', configuration: this.#state});
		}
	}
}

function applyChange(state: ConfigurationState, change: Change): ConfigurationState {
	switch (change.kind) {
		case 'inventory': {
			return {...state, inventory: change};
		}

		case 'rules': {
			return {...state, rules: change};
		}

		case 'drain': {
			const drained = new Set(state.drained);
			if (change.draining) {
				drained.add(change.upstream);
			} else {
				drained.delete(change.upstream);
			}

			return {...state, drained};
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
