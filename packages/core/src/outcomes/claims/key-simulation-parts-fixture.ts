/** Types and helpers of the idempotency key simulation: caller attempts, runs, processes and messages. */
import type {Clock} from '../../model/clock.js';
import type {IncarnationId} from '../../model/ids.js';
import type {Outcome} from '../outcome.js';
import {fingerprintOf} from '../../model/request-fingerprint.js';
import {ClaimBatcher} from './claim-batcher.js';
import {ClaimIndex} from './claim-index.js';
import {parseIdempotencyKey, type IdempotencyKey} from './idempotency-key.js';
import {IdempotencyKeyTable} from './idempotency-key-table.js';

export const fingerprint = fingerprintOf({
	service: 'ledger', method: 'POST', path: '/deposits', body: new Uint8Array(3),
});
export const answered: Outcome = {type: 'answered', answer: {statusCode: 201, headers: [], body: new Uint8Array(10)}};
const window = {lengthMs: 1000, clockSkewMs: 50};

export type CallerAttempt = {readonly key: number; readonly attempt: number; reportedAt?: number; reported?: Outcome};
export type Run = {readonly key: number; readonly attempt: number; isClaiming: boolean; sentAt?: number; readonly joined: CallerAttempt[]};
export type Process = {
	readonly id: IncarnationId;
	readonly claimIndex: ClaimIndex;
	readonly batcher: ClaimBatcher;
	readonly table: IdempotencyKeyTable;
	runs: Run[];
	isPaused: boolean;
	isAlive: boolean;
};
export type Message = {readonly callerAttempt: CallerAttempt; readonly to: Process; readonly isForwarded: boolean};

export function reportTo(callerAttempt: CallerAttempt, outcome: Outcome, step: number): void {
	callerAttempt.reported ??= outcome;
	callerAttempt.reportedAt ??= step;
}

export function reportToAll(run: Run, outcome: Outcome, step: number): void {
	for (const callerAttempt of run.joined) {
		reportTo(callerAttempt, outcome, step);
	}
}

export function createKey(atMs: number, index: number): IdempotencyKey {
	const time = atMs.toString(16).padStart(12, '0');
	return parseIdempotencyKey(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(index).padStart(12, '0')}`)!;
}

/** Creates a process whose tables are small enough for the simulation to reach their limits. */
export function createProcess(id: IncarnationId, clock: Clock): Process {
	const claimIndex = new ClaimIndex({window, maximumKeys: 3});
	const batcher = new ClaimBatcher(2);
	const options = {
		clock, window, outcomeRetentionMs: 0, maximumEntries: 3, maximumAnswerBytes: 15,
	};
	return {
		id, claimIndex, batcher, table: new IdempotencyKeyTable(options, {owner: id, claimIndex, batcher}), runs: [], isPaused: false, isAlive: true,
	};
}
