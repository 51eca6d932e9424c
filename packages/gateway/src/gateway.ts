/** Runs the tasks of an entry instance from its start to its graceful stop. */
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {ok, type Result} from 'neverthrow';
import {untilArrivalsAreRead} from './kernel/arrivals.js';
import type {Context} from './kernel/context.js';
import type {StartError} from './kernel/start-error.js';
import type {Task} from './kernel/task.js';
import {recordUnexpectedFault} from './kernel/unexpected-fault.js';
import type {SettingsError} from './settings/read-settings.js';
import type {Settings} from './settings/settings.js';

const millisecondsPerSecond = 1000;
/**
 * Fraction of the grace period in which new connections are still accepted: callers keep addresses for up to three times their
 * time to live.
 */
const acceptingRatio = 0.6;
/** Fraction of the grace period in which requests in flight may end by themselves, and before whose end those taken later have their deadlines. */
const drainRatio = 0.9;
/** Fraction of the grace period until which answers of upstreams that have arrived by its end are read; one that could not run reads late. */
const readRatio = 0.93;
/** Time for reading them if the end of the grace period comes late, as the process could not run. */
const minimumReadMs = 50;
/** Fraction of the grace period by which the remaining requests must be answered; the rest is for closing sockets and ending the process. */
const answerRatio = 0.96;
/** Time for the remaining answers if the end of the grace period comes late, as the process could not run. */
const minimumAnswerMs = 100;

export class Gateway {
	readonly #context: Context;
	readonly #tasks: readonly Task[];
	readonly #flushLogs: () => Promise<void>;
	#isStopped = false;

	/**
	 * @param tasks - tasks in the order in which they are started
	 * @param flushLogs - resolves once the last lines are written
	 */
	constructor(context: Context, tasks: readonly Task[], flushLogs: () => Promise<void>) {
		this.#context = context;
		this.#tasks = tasks;
		this.#flushLogs = flushLogs;
	}

	async start(): Promise<Result<void, StartError>> {
		const {logger, settings, incarnation} = this.#context;
		for (const task of this.#tasks) {
			const started = await task.start();
			if (started.isErr()) {
				return started;
			}
		}

		logger.info('started', {incarnation, availabilityZone: settings.availabilityZone, callers: settings.listen.callers});
		return ok(undefined);
	}

	/** Records a fault that nothing has handled, before the process ends by it. */
	async recordFatalFault(error: unknown): Promise<void> {
		recordUnexpectedFault(this.#context, 'process', error);
		await this.#flushLogs();
	}

	/** Applies changed settings, except those of the instance's id, address, sockets and machine, which change only with a restart. */
	reload(result: Result<Settings, SettingsError>): void {
		const {logger, settings: before} = this.#context;
		if (result.isErr()) {
			logger.error('settings not reloaded: the former ones stay in force', {faults: result.error.faults});
			return;
		}

		const after = result.value;
		this.#context.settings = {
			...after, instanceId: before.instanceId, host: before.host, listen: before.listen, peers: before.peers, machine: before.machine,
		};
		const needsRestart = JSON.stringify([before.host, before.listen, before.peers, before.store, before.machine])
			!== JSON.stringify([after.host, after.listen, after.peers, after.store, after.machine]);
		logger.info('settings reloaded', {changed: JSON.stringify(before) !== JSON.stringify(after), needsRestart});
	}

	/** Stops gracefully: takes only requests that end within the grace period whatever happens, and interrupts none of those in flight before it is over. */
	async stop(): Promise<void> {
		const {clock, logger, settings, stop} = this.#context;
		const graceMs = settings.bounds.graceSeconds * millisecondsPerSecond;
		const startedAtMs = clock.monotonicMs();
		// Steps have fixed times, so that one that is late takes no time from the process's end.
		const untilPart = async (ratio: number) => delay(Math.max(0, startedAtMs + (graceMs * ratio) - clock.monotonicMs()));
		logger.info('leaving', {graceMs});
		stop.begin(startedAtMs + (graceMs * drainRatio));
		this.#forEachTask(task => task.leave?.());
		await untilPart(acceptingRatio);
		await Promise.race([this.#drain(), untilPart(drainRatio)]);
		if (this.#isBusy) {
			await this.#readAnswers(startedAtMs + (graceMs * readRatio));
		}

		this.#forEachTask(task => task.expire?.());
		await Promise.race([this.#drain(), Promise.all([untilPart(answerRatio), delay(minimumAnswerMs)])]);
		this.#isStopped = true;
		this.#forEachTask(task => {
			task.stop();
		}, this.#tasks.toReversed());
		logger.info('stopped');
		await this.#flushLogs();
	}

	/** Reads the answers of upstreams that have arrived, as the runtime calls timers before it reads sockets. */
	async #readAnswers(untilMs: number): Promise<void> {
		const {answerMemory, clock} = this.#context;
		const readUntilMs = Math.max(untilMs, clock.monotonicMs() + minimumReadMs);
		await untilArrivalsAreRead(() => answerMemory.readBytes, () => clock.monotonicMs() >= readUntilMs);
	}

	get #isBusy(): boolean {
		let isBusy = false;
		this.#forEachTask(task => {
			isBusy ||= task.isBusy?.() === true;
		});
		return isBusy;
	}

	/** Resolves once no task has work in flight, all at the same moment: work may come to one task while another is waited for. */
	async #drain(): Promise<void> {
		do {
			await nextTurn();
			await Promise.all(this.#tasks.map(async task => this.#drainTask(task)));
		} while (this.#isBusy && !this.#isStopped);
	}

	async #drainTask(task: Task): Promise<void> {
		try {
			await task.drain?.();
		} catch (error) {
			recordUnexpectedFault(this.#context, 'stop', error, {task: task.name});
		}
	}

	/** Makes a step of the stop with all tasks; a fault in one of them keeps none of the others from it. */
	#forEachTask(step: (task: Task) => void, tasks = this.#tasks): void {
		for (const task of tasks) {
			try {
				step(task);
			} catch (error) {
				recordUnexpectedFault(this.#context, 'stop', error, {task: task.name});
			}
		}
	}
}
