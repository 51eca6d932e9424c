/** Serves the metrics over HTTP. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {RequestState} from '@cairnbank/core/connections';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {connectionLimit} from '../../kernel/connection-limit.js';
import {LastAnswers} from '../../kernel/last-answers.js';
import {listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {containFaults} from '../../kernel/unexpected-fault.js';

/** Values that are read as the metrics are served. */
export type MetricsSources = {
	readonly droppedLogLines: () => number;
	readonly countOpenRequests: () => ReadonlyMap<RequestState, number>;
	readonly unfinishedAnswerBytes: () => number;
	readonly heldHeadBytes: () => number;
};

export class MetricsTask implements Task {
	readonly name = 'metrics';
	readonly #context: Context;
	readonly #server: Server;
	readonly #answers: LastAnswers;
	/** The text that is being made; one serves all requests that arrive meanwhile, as it is long. */
	#text: Promise<string> | undefined;

	constructor(context: Context, {droppedLogLines, countOpenRequests, unfinishedAnswerBytes, heldHeadBytes}: MetricsSources) {
		this.#context = context;
		this.#server = createServer();
		this.#answers = new LastAnswers(this.#server, containFaults(context, 'metrics', async (_request, response) => {
			context.metrics.droppedLogLines.set(droppedLogLines());
			context.metrics.unfinishedAnswerBytes.set(unfinishedAnswerBytes());
			context.metrics.heldHeadBytes.set(heldHeadBytes());
			for (const [state, count] of countOpenRequests()) {
				context.metrics.openRequests.set({state}, count);
			}

			await this.#answer(response);
		}), connectionLimit(context, 'metrics', context.machineLimits.operatorConnections));
	}

	async start(): Promise<Result<void, StartError>> {
		const {host, peers} = this.#context.settings;
		return listen(this.#server, this.name, `${host}:${peers.metricsPort}`);
	}

	leave(): void {
		this.#answers.leave();
	}

	/** Resolves once all that has arrived is answered. */
	async drain(): Promise<void> {
		await this.#answers.drain();
	}

	isBusy(): boolean {
		return this.#answers.isBusy;
	}

	stop(): void {
		this.#answers.stop();
	}

	async #answer(response: ServerResponse): Promise<void> {
		const {registry} = this.#context.metrics;
		response.setHeader('Content-Type', registry.contentType);
		this.#text ??= this.#createText();
		response.end(await this.#text);
	}

	async #createText(): Promise<string> {
		try {
			return await this.#context.metrics.registry.metrics();
		} finally {
			this.#text = undefined;
		}
	}
}
