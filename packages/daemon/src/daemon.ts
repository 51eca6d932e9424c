/** Runs the tasks of a daemon from its start to a graceful stop. */
import {err, ok, type Result} from 'neverthrow';
import type {Registry} from 'prom-client';
import type {DaemonContext} from './kernel/daemon-context.js';
import type {StartError} from './kernel/start-error.js';
import type {Task} from './kernel/task.js';

export class Daemon {
	readonly #context: DaemonContext;
	readonly #tasks: readonly Task[];
	readonly #stopRequested: Promise<void>;
	#started: Task[] = [];
	#stopping: Promise<void> | undefined;
	#starting: Promise<Result<void, StartError>> | undefined;

	/** @param tasks - in the order in which they start */
	constructor(context: DaemonContext, tasks: readonly Task[]) {
		this.#context = context;
		this.#tasks = tasks;
		this.#stopRequested = new Promise(resolve => {
			context.bus.on('stop-requested', () => {
				resolve();
			});
		});
	}

	/** Metrics that the admin port exports. */
	get metrics(): Registry {
		return this.#context.metrics;
	}

	/** Resolves once an operator requests a stop of this instance. */
	get stopRequested(): Promise<void> {
		return this.#stopRequested;
	}

	async start(): Promise<Result<void, StartError>> {
		this.#starting = this.#startTasks();
		return this.#starting;
	}

	/**
	 * Stops gracefully: waits for requests in flight, for at most the configured drain time, before it stops the tasks. Further calls wait
	 * for the same stop.
	 */
	async stop(): Promise<void> {
		this.#stopping ??= this.#stopGracefully();
		return this.#stopping;
	}

	async #startTasks(): Promise<Result<void, StartError>> {
		for (const task of this.#tasks) {
			if (this.#stopping) {
				return err({type: 'stopped-during-start'});
			}

			const started = await task.start();
			if (started.isErr()) {
				return started;
			}

			this.#started.push(task);
		}

		return ok(undefined);
	}

	async #stopGracefully(): Promise<void> {
		await this.#starting;
		const {logger, settings, bus} = this.#context;
		const hasFullyStarted = this.#started.length === this.#tasks.length;
		logger.info('leaving');
		bus.send({type: 'leaving'});
		await Promise.all(this.#started.map(async task => task.leave?.()));
		if (hasFullyStarted) {
			// Peers may list this instance until they are informed that it leaves, and callers may cache such an address answer and still connect when
			// it is about to expire.
			await delay(settings.stopping.spreadMs + settings.addresses.ttlMs);
		}

		const drained = Promise.all(this.#started.map(async task => task.drain?.()));
		await Promise.race([drained, delay(settings.stopping.maximumDrainMs)]);
		for (const task of this.#started) {
			task.expire?.();
		}

		for (const task of this.#started.toReversed()) {
			await task.stop();
		}

		this.#started = [];
		await this.#context.tracing.shutdown();
		logger.info('stopped');
	}
}

async function delay(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs).unref();
	});
}
