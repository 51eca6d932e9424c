/**
 * Appends snapshots before records that a new daemon needs expire in the log. The instances have a rank for each
 * snapshot, so that one of them writes it.
 */
import {recordIdSchema, type InstanceId} from '@cairnbank/core';
import {
	configurationStream, createSnapshot, assessSnapshotNeed, snapshotWriterRank, type ReadProgress, type SnapshotCoverage, type SnapshotNeed,
} from '@cairnbank/core/configuration';
import type {LogClient} from '@cairnbank/protocol/log';
import {v7 as uuid} from 'uuid';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {pause} from '../../kernel/pause.js';

/**
 * Fractions of the log's retention time: the interval between checks, and the additional delay per rank, which each
 * instance waits for those ranked before it.
 */
const checksPerRetention = 200;
const rankDelaysPerRetention = 50;
const intervalLimitsMs = {shortest: 50, longest: 10_000} as const;
/** Upper limit of the rank, because waiting longer would risk that records expire. */
const maximumRank = 10;

export type SnapshotWriterOptions = {
	readonly context: DaemonContext;
	readonly log: LogClient;
	progress(): ReadProgress;
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
			if (this.#shouldAppend()) {
				await this.#append(signal);
			}

			await pause(this.#retentionFractionMs(checksPerRetention), signal);
		}
	}

	get #need(): SnapshotNeed {
		const {progress, coverage, context} = this.#options;
		const {state, standing} = progress();
		return state.acceptedOffset === 0 || standing.type !== 'current'
			? 'none'
			: assessSnapshotNeed(coverage(), context.clock.now().getTime(), context.settings.log.retentionMs);
	}

	#shouldAppend(): boolean {
		if (this.#need === 'none') {
			this.#due = undefined;
			return false;
		}

		const {context, coverage, otherInstances} = this.#options;
		const nowMs = context.clock.monotonicMs();
		const snapshotOffset = coverage().snapshotOffset ?? 0;
		if (this.#due?.snapshotOffset !== snapshotOffset) {
			this.#due = {snapshotOffset, sinceMs: nowMs};
		}

		const rank = Math.min(maximumRank, snapshotWriterRank(context.settings.instanceId, otherInstances(), snapshotOffset));
		const rankDelayMs = this.#retentionFractionMs(rankDelaysPerRetention);
		return nowMs >= this.#notBeforeMs && nowMs - this.#due.sinceMs >= rank * rankDelayMs;
	}

	/**
	 * Appends at most one snapshot per rank delay: if the acknowledgement is lost, the append becomes visible only when the
	 * record is read back.
	 */
	async #append(signal: AbortSignal): Promise<void> {
		const {context, log, progress, onResult} = this.#options;
		this.#notBeforeMs = context.clock.monotonicMs() + this.#retentionFractionMs(rankDelaysPerRetention);
		const snapshot = createSnapshot(progress().state, recordIdSchema.parse(uuid()));
		const appended = await log.append(configurationStream, snapshot, signal);
		onResult(appended.isOk() ? 'appended' : 'failed');
		context.logger.info('configuration snapshot', {throughOffset: snapshot.throughOffset, result: appended.isOk() ? 'appended' : appended.error.type});
	}

	#retentionFractionMs(parts: number): number {
		const {retentionMs} = this.#options.context.settings.log;
		return Math.min(intervalLimitsMs.longest, Math.max(intervalLimitsMs.shortest, retentionMs / parts));
	}
}
