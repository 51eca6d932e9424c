/** Appends claims to the log in groups and reads the claims stream back: no claim counts before it was read. */
import {
	claimRecordSchema, type AppendResult, type Claim, type ClaimBatcher, type ClaimIndex, type ClaimResolution,
	type IdempotencyKey, type IdempotencyKeyTable,
} from '@cairnbank/core/outcomes';
import type {LogClient, LogError, LogPage} from '@cairnbank/protocol/log';
import {v7 as uuid} from 'uuid';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {pause} from '../../kernel/pause.js';
import type {AtMostOnceMetrics} from './at-most-once-metrics.js';

const recordsPerRead = 500;
const readRetryDelayMs = 200;
const appendRetryDelayMs = 50;
/** After a failed append no new key is accepted for this long. */
const unavailableMs = 500;
const tooManyRequests = 429;

export type ClaimLogParts = {
	readonly log: LogClient;
	readonly claimIndex: ClaimIndex;
	readonly batcher: ClaimBatcher;
	readonly keyTable: IdempotencyKeyTable;
	readonly metrics: AtMostOnceMetrics;
};

type SettledClaim = Exclude<ClaimResolution, {type: 'pending'}>;
type Waiter = {readonly resolve: (resolution: SettledClaim) => void; readonly timer: NodeJS.Timeout};

export class ClaimLog {
	readonly #context: DaemonContext;
	readonly #parts: ClaimLogParts;
	readonly #waiters = new Map<IdempotencyKey, Waiter>();
	readonly #stopping = new AbortController();
	#reading: Promise<void> | undefined;
	#unavailableUntilMs = 0;
	#retryTimer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext, parts: ClaimLogParts) {
		this.#context = context;
		this.#parts = parts;
	}

	/** Whether the log took the latest append, or none has failed for a while. */
	get isAvailable(): boolean {
		return this.#context.clock.monotonicMs() >= this.#unavailableUntilMs;
	}

	start(): void {
		this.#reading = this.#read();
	}

	async stop(): Promise<void> {
		this.#stopping.abort();
		clearTimeout(this.#retryTimer);
		await this.#reading;
		for (const key of this.#waiters.keys()) {
			this.#giveUp(key);
		}
	}

	/** Resolves once the key's first claim was read, or gives the claim up. The key's claim is queued. */
	async confirmClaim(key: IdempotencyKey, deadlineAtMs: number): Promise<SettledClaim> {
		const {clock, settings} = this.#context;
		const startMs = clock.monotonicMs();
		const waitMs = Math.max(0, Math.min(settings.atMostOnce.claimWaitMs, deadlineAtMs - startMs));
		const resolution = await new Promise<SettledClaim>(resolve => {
			const timer = setTimeout(() => {
				this.#giveUp(key);
			}, waitMs);
			this.#waiters.set(key, {resolve, timer});
			this.#append();
		});
		this.#parts.metrics.observeClaim(resolution.type, clock.monotonicMs() - startMs);
		return resolution;
	}

	#append(): void {
		const claims = this.#retryTimer ? undefined : this.#parts.batcher.takeBatch();
		if (claims) {
			void this.#appendGroup(claims);
		}
	}

	async #appendGroup(claims: readonly Claim[]): Promise<void> {
		const record = claimRecordSchema.parse({
			type: 'claims', id: uuid(), owner: this.#context.incarnation, claims,
		});
		const appended = await this.#parts.log.append(this.#context.settings.log.claimsStream, record);
		this.#parts.batcher.completeAppend(appended.match(({offset}): AppendResult => ({type: 'acknowledged', offset}), toAppendResult));
		if (appended.isErr()) {
			this.#appendFailed(claims, appended.error);
		} else {
			this.#unavailableUntilMs = 0;
			this.#settle();
			this.#append();
		}
	}

	#appendFailed(claims: readonly Claim[], error: LogError): void {
		const isBusy = error.type === 'refused' && error.statusCode === tooManyRequests;
		if (!isBusy) {
			this.#unavailableUntilMs = this.#context.clock.monotonicMs() + unavailableMs;
			this.#context.logger.warn('claims not appended', {error: error.type, detail: error.message, claims: claims.length});
		}

		if (!isBusy && toAppendResult(error).type === 'failed') {
			for (const {key} of claims) {
				this.#giveUp(key);
			}
		}

		this.#retryTimer = setTimeout(() => {
			this.#retryTimer = undefined;
			this.#append();
		}, appendRetryDelayMs);
	}

	async #read(): Promise<void> {
		const {settings, clock} = this.#context;
		while (!this.#stopping.signal.aborted) {
			const page = await this.#parts.log.read(settings.log.claimsStream, {
				fromOffset: this.#parts.claimIndex.throughOffset + 1,
				limit: recordsPerRead,
				// No key can be judged before the first read: it does not wait for news.
				waitMs: this.#parts.claimIndex.hasRead ? settings.log.pollWaitMs : 0,
				signal: this.#stopping.signal,
			});
			if (page.isOk()) {
				this.#fold(page.value);
				continue;
			}

			this.#unavailableUntilMs = clock.monotonicMs() + unavailableMs;
			await pause(readRetryDelayMs, this.#stopping.signal);
		}
	}

	#fold(page: LogPage): void {
		const records = page.records.map(({offset, appendedAt, value}) => ({offset, appendedAtMs: Date.parse(appendedAt), value}));
		this.#parts.claimIndex.apply(records, page.earliestOffset);
		this.#settle();
	}

	#settle(): void {
		for (const key of this.#waiters.keys()) {
			const resolution = this.#parts.keyTable.resolveClaim(key);
			if (resolution.type !== 'pending') {
				this.#resolve(key, resolution);
			}
		}
	}

	#giveUp(key: IdempotencyKey): void {
		if (this.#waiters.has(key)) {
			this.#resolve(key, {type: 'end', outcome: this.#parts.keyTable.abandonClaim(key)});
		}
	}

	#resolve(key: IdempotencyKey, resolution: SettledClaim): void {
		const waiter = this.#waiters.get(key)!;
		this.#waiters.delete(key);
		clearTimeout(waiter.timer);
		waiter.resolve(resolution);
	}
}

function toAppendResult(error: LogError): AppendResult {
	switch (error.type) {
		case 'unreachable':
		case 'refused': {
			return {type: 'failed'};
		}

		case 'unacknowledged':
		case 'malformed': {
			return {type: 'in-doubt'};
		}
	}
}
