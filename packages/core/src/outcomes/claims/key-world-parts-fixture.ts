/** Parts of the model around key tables: sends, runs, processes and messages. */
import type {Clock} from '../../model/clock.js';
import type {IncarnationId} from '../../model/ids.js';
import type {Outcome} from '../outcome.js';
import {fingerprintOf} from '../../model/request-fingerprint.js';
import {ClaimBatcher} from './claim-batcher.js';
import {ClaimFold} from './claim-fold.js';
import {parseIdempotencyKey, type IdempotencyKey} from './idempotency-key.js';
import {KeyTable} from './key-table.js';

export const fingerprint = fingerprintOf({
	service: 'ledger', method: 'POST', path: '/deposits', body: new Uint8Array(3),
});
export const answered: Outcome = {type: 'answered', answer: {statusCode: 201, headers: [], body: new Uint8Array(10)}};
const window = {openMs: 1000, clockSkewMs: 50};

export type Send = {readonly key: number; readonly attempt: number; toldAt?: number; told?: Outcome};
export type Run = {readonly key: number; readonly attempt: number; claiming: boolean; sentAt?: number; readonly joined: Send[]};
export type Process = {readonly id: IncarnationId; readonly fold: ClaimFold; readonly batcher: ClaimBatcher; readonly table: KeyTable; runs: Run[]; paused: boolean; alive: boolean};
export type Message = {readonly send: Send; readonly to: Process; readonly forwarded: boolean};

export function tell(send: Send, outcome: Outcome, step: number): void {
	send.told ??= outcome;
	send.toldAt ??= step;
}

export function tellAll(run: Run, outcome: Outcome, step: number): void {
	for (const send of run.joined) {
		tell(send, outcome, step);
	}
}

export function mintKey(atMs: number, index: number): IdempotencyKey {
	const time = atMs.toString(16).padStart(12, '0');
	return parseIdempotencyKey(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(index).padStart(12, '0')}`)!;
}

/** A process whose tables are small enough to reach their bounds. */
export function createProcess(id: IncarnationId, clock: Clock): Process {
	const fold = new ClaimFold({window, maximumKeys: 3});
	const batcher = new ClaimBatcher(2);
	const options = {
		clock, window, keepEndedMs: 0, maximumEntries: 3, maximumAnswerBytes: 15,
	};
	return {
		id, fold, batcher, table: new KeyTable(options, {owner: id, fold, batcher}), runs: [], paused: false, alive: true,
	};
}
