/** Appends claims to the log in batches and reads the claims stream back. A claim takes effect only after it was read from the log. */
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
/** Time after a failed append or read of the log during which no new key is accepted. */
const unavailableMs = 500;
const tooManyRequests = 429;

export type ClaimLogParts = {
	readonly log: LogClient;
	readonly claimIndex: ClaimIndex;
	readonly claimBatcher: ClaimBatcher;
	readonly keyTable: IdempotencyKeyTable;
	readonly metrics: AtMostOnceMetrics;
};

type FinalResolution = Exclude<ClaimResolution, {type: 'pending'}>;
type Waiter = {readonly resolve: (resolution: FinalResolution) => void; readonly timer: NodeJS.Timeout};

export class ClaimLog {
	readonly #context: DaemonContext;
	readonly #parts: ClaimLogParts;
	readonly #waiters = new Map<IdempotencyKey, Waiter>();
	readonly #stopping = new AbortController();
	#readLoop: Promise<void> | undefined;
	#unavailableUntilMs = 0;
	#retryTimer: NodeJS.Timeout | undefined;

	constructor(context: DaemonContext, parts: ClaimLogParts) {
		this.#context = context;
		this.#parts = parts;
	}

	/** Returns false for a short time after an append or a read of the log has failed, unless an append succeeds before that. */
	get isAvailable(): boolean {
		return this.#context.clock.monotonicMs() >= this.#unavailableUntilMs;
	}

	start(): void {
		this.#readLoop = this.#readStream();
	}

	async stop(): Promise<void> {
		this.#stopping.abort();
		clearTimeout(this.#retryTimer);
		await this.#readLoop;
		for (const key of this.#waiters.keys()) {
			this.#abandonClaim(key);
		}
	}

	/**
	 * Waits until the first claim of the key was read from the log; abandons the claim at the timeout. The claim must
	 * already be queued.
	 */
	async confirmClaim(key: IdempotencyKey, deadlineAtMs: number): Promise<FinalResolution> {
		const {clock, settings} = this.#context;
		const startMs = clock.monotonicMs();
		const waitMs = Math.max(0, Math.min(settings.atMostOnce.claimWaitMs, deadlineAtMs - startMs));
		const resolution = await new Promise<FinalResolution>(resolve => {
			const timer = setTimeout(() => {
				this.#abandonClaim(key);
			}, waitMs);
			this.#waiters.set(key, {resolve, timer});
			this.#appendNextBatch();
		});
		this.#parts.metrics.observeClaim(resolution.type, clock.monotonicMs() - startMs);
		return resolution;
	}

	#appendNextBatch(): void {
		const claims = this.#retryTimer ? undefined : this.#parts.claimBatcher.takeBatch();
		if (claims) {
			void this.#appendBatch(claims);
		}
	}

	async #appendBatch(claims: readonly Claim[]): Promise<void> {
		const record = claimRecordSchema.parse({
			type: 'claims', id: uuid(), owner: this.#context.incarnation, claims,
		});
		const appended = await this.#parts.log.append(this.#context.settings.log.claimsStream, record);
		this.#parts.claimBatcher.completeAppend(appended.match(({offset}): AppendResult => ({type: 'acknowledged', offset}), toAppendResult));
		if (appended.isErr()) {
			this.#handleAppendFailure(claims, appended.error);
		} else {
			this.#unavailableUntilMs = 0;
			this.#resolveWaiters();
			this.#appendNextBatch();
		}
	}

	#handleAppendFailure(claims: readonly Claim[], error: LogError): void {
		const isBusy = error.type === 'refused' && error.statusCode === tooManyRequests;
		if (!isBusy) {
			this.#unavailableUntilMs = this.#context.clock.monotonicMs() + unavailableMs;
			this.#context.logger.warn('claims could not be appended to the log', {error: error.type, detail: error.message, claims: claims.length});
		}

		if (!isBusy && toAppendResult(error).type === 'failed') {
			for (const {key} of claims) {
				this.#abandonClaim(key);
			}
		}

		this.#retryTimer = setTimeout(() => {
			this.#retryTimer = undefined;
			this.#appendNextBatch();
		}, appendRetryDelayMs);
	}

	async #readStream(): Promise<void> {
		const {settings, clock} = this.#context;
		while (!this.#stopping.signal.aborted) {
			const page = await this.#parts.log.read(settings.log.claimsStream, {
				fromOffset: this.#parts.claimIndex.throughOffset + 1,
				limit: recordsPerRead,
				// No key can be decided before the first read, so that read does not wait for new records.
				waitMs: this.#parts.claimIndex.hasRead ? settings.log.pollWaitMs : 0,
				signal: this.#stopping.signal,
			});
			if (page.isOk()) {
				this.#applyPage(page.value);
				continue;
			}

			this.#unavailableUntilMs = clock.monotonicMs() + unavailableMs;
			await pause(readRetryDelayMs, this.#stopping.signal);
		}
	}

	#applyPage(page: LogPage): void {
		const records = page.records.map(({offset, appendedAt, value}) => ({offset, appendedAtMs: Date.parse(appendedAt), value}));
		this.#parts.claimIndex.apply(records, page.earliestOffset);
		this.#resolveWaiters();
	}

	#resolveWaiters(): void {
		for (const key of this.#waiters.keys()) {
			const resolution = this.#parts.keyTable.resolveClaim(key);
			if (resolution.type !== 'pending') {
				this.#resolve(key, resolution);
			}
		}
	}

	#abandonClaim(key: IdempotencyKey): void {
		if (this.#waiters.has(key)) {
			this.#resolve(key, {type: 'end', outcome: this.#parts.keyTable.abandonClaim(key)});
		}
	}

	#resolve(key: IdempotencyKey, resolution: FinalResolution): void {
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
