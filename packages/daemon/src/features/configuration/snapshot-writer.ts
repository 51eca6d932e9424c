/** Appends snapshots before the log forgets what a new daemon needs; instances take turns. */
import {recordIdSchema, type InstanceId} from '@cairnbank/core';
import {
	configurationStream, createSnapshot, judgeCoverage, snapshotTurn, type Reading, type SnapshotCoverage, type SnapshotNeed,
} from '@cairnbank/core/configuration';
import type {LogClient} from '@cairnbank/protocol/log';
import {v7 as uuid} from 'uuid';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {pause} from '../../kernel/pause.js';

/** Parts of the retention: how often the need is looked at, and how long each next instance waits for those before it. */
const checksPerRetention = 200;
const turnsPerRetention = 50;
const intervalLimitsMs = {shortest: 50, longest: 10_000} as const;
/** Turns after which waiting longer would risk the records. */
const maximumTurns = 10;

export type SnapshotWriterOptions = {
	readonly context: DaemonContext;
	readonly log: LogClient;
	progress(): Reading;
	coverage(): SnapshotCoverage;
	otherInstances(): readonly InstanceId[];
	onResult(result: 'appended' | 'failed'): void;
};

export class SnapshotWriter {
	readonly #options: SnapshotWriterOptions;
	#due: {readonly snapshotOffset: number; readonly sinceMs: number} | undefined;
	#notBeforeMs = 0;

	constructor(options: SnapshotWriterOptions) {
		this.#options = options;
	}

	/** Resolves once `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.#isOwnTurn()) {
				await this.#append(signal);
			}

			await pause(this.#partOfRetentionMs(checksPerRetention), signal);
		}
	}

	get #need(): SnapshotNeed {
		const {progress: reading, coverage, context} = this.#options;
		const {state, standing} = reading();
		return state.acceptedOffset === 0 || standing.type !== 'current'
			? 'none'
			: judgeCoverage(coverage(), context.clock.now().getTime(), context.settings.log.retentionMs);
	}

	#isOwnTurn(): boolean {
		if (this.#need === 'none') {
			this.#due = undefined;
			return false;
		}

		const {context, coverage, otherInstances: others} = this.#options;
		const nowMs = context.clock.monotonicMs();
		const snapshotOffset = coverage().snapshotOffset ?? 0;
		if (this.#due?.snapshotOffset !== snapshotOffset) {
			this.#due = {snapshotOffset, sinceMs: nowMs};
		}

		const turn = Math.min(maximumTurns, snapshotTurn(context.settings.instanceId, others(), snapshotOffset));
		const turnMs = this.#partOfRetentionMs(turnsPerRetention);
		return nowMs >= this.#notBeforeMs && nowMs - this.#due.sinceMs >= turn * turnMs;
	}

	/** One append a turn at most, as a lost acknowledgement shows only when the record is read back. */
	async #append(signal: AbortSignal): Promise<void> {
		const {context, log, progress: reading, onResult} = this.#options;
		this.#notBeforeMs = context.clock.monotonicMs() + this.#partOfRetentionMs(turnsPerRetention);
		const snapshot = createSnapshot(reading().state, recordIdSchema.parse(uuid()));
		const appended = await log.append(configurationStream, snapshot, signal);
		onResult(appended.isOk() ? 'appended' : 'failed');
		context.logger.info('configuration snapshot', {throughOffset: snapshot.throughOffset, result: appended.isOk() ? 'appended' : appended.error.type});
	}

	#partOfRetentionMs(parts: number): number {
		const {retentionMs} = this.#options.context.settings.log;
		return Math.min(intervalLimitsMs.longest, Math.max(intervalLimitsMs.shortest, retentionMs / parts));
	}
}
