/**
 * Records which process owns each idempotency key. The index is built from the claims stream, and every instance
 * computes the same result.
 *
 * The first claim of a key within its claim window gets permanent ownership. Every reader ignores claims outside the
 * window, so an append that takes effect late cannot start a run after the outcome of the key was decided.
 */
import type {IncarnationId} from '../../model/ids.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';
import {type Claim, claimRecordSchema} from './claim-record.js';
import type {ClaimWindow} from './claim-window.js';
import {keyCreatedAtMs, type IdempotencyKey} from './idempotency-key.js';

export type ClaimStreamRecord = {
	readonly offset: number;
	readonly appendedAtMs: number;
	readonly value: unknown;
};

export type ClaimOwner = {
	readonly owner: IncarnationId;
	readonly fingerprint: Fingerprint;
	readonly appendedAtMs: number;
};

export type ClaimIndexOptions = {
	readonly window: ClaimWindow;
	/** Limit on stored keys. Beyond it the oldest keys are evicted, and keys that are as old are rejected. */
	readonly maximumKeys: number;
};

export class ClaimIndex {
	readonly #options: ClaimIndexOptions;
	/** Ordered by log offset. */
	readonly #owners = new Map<IdempotencyKey, ClaimOwner>();
	#throughOffset = 0;
	#latestAppendMs = Number.NEGATIVE_INFINITY;
	/** The index contains all claims that were appended at or after this time. `undefined` until the first read. */
	#coveredFromMs: number | undefined;

	constructor(options: ClaimIndexOptions) {
		this.#options = options;
	}

	/** Offset of the last record that was applied. */
	get throughOffset(): number {
		return this.#throughOffset;
	}

	get keyCount(): number {
		return this.#owners.size;
	}

	/** Applies one page of records that was read from right after `throughOffset`. Skips records that were already applied. */
	apply(records: readonly ClaimStreamRecord[], earliestOffset: number): void {
		this.#recordGap(earliestOffset);
		for (const record of records) {
			if (record.offset > this.#throughOffset) {
				this.#applyRecord(record);
			}
		}

		this.#evictOldest();
	}

	ownerOf(key: IdempotencyKey): ClaimOwner | undefined {
		return this.#owners.get(key);
	}

	/** Whether the log has been read at least once. */
	get hasRead(): boolean {
		return this.#coveredFromMs !== undefined;
	}

	/** Whether the index would contain a claim of this key if one existed. */
	coversKey(key: IdempotencyKey): boolean {
		const {clockSkewMs} = this.#options.window;
		return this.#coveredFromMs !== undefined && keyCreatedAtMs(key) - clockSkewMs >= this.#coveredFromMs;
	}

	/** Whether no record appended from now on can claim this key. Takes into account that the log's clock may step back by the clock skew. */
	isClaimWindowClosed(key: IdempotencyKey): boolean {
		const {lengthMs, clockSkewMs} = this.#options.window;
		return this.#latestAppendMs > keyCreatedAtMs(key) + lengthMs + clockSkewMs;
	}

	/** Detects records that the log dropped before they were read. Claims older than the first readable record are then unknown. */
	#recordGap(earliestOffset: number): void {
		if (earliestOffset > this.#throughOffset + 1) {
			this.#coveredFromMs = Number.POSITIVE_INFINITY;
			this.#throughOffset = earliestOffset - 1;
			return;
		}

		this.#coveredFromMs ??= Number.NEGATIVE_INFINITY;
	}

	#applyRecord(record: ClaimStreamRecord): void {
		this.#throughOffset = record.offset;
		this.#latestAppendMs = Math.max(this.#latestAppendMs, record.appendedAtMs);
		if (this.#coveredFromMs === Number.POSITIVE_INFINITY) {
			this.#coveredFromMs = record.appendedAtMs;
		}

		const parsed = claimRecordSchema.safeParse(record.value);
		if (!parsed.success) {
			return;
		}

		for (const claim of parsed.data.claims) {
			this.#applyClaim(claim, parsed.data.owner, record.appendedAtMs);
		}
	}

	#applyClaim(claim: Claim, owner: IncarnationId, appendedAtMs: number): void {
		const {key, fingerprint} = claim;
		if (!this.#owners.has(key) && this.#isInWindow(key, appendedAtMs)) {
			this.#owners.set(key, {owner, fingerprint, appendedAtMs});
		}
	}

	#isInWindow(key: IdempotencyKey, appendedAtMs: number): boolean {
		const {lengthMs, clockSkewMs} = this.#options.window;
		const ageMs = appendedAtMs - keyCreatedAtMs(key);
		return ageMs >= -clockSkewMs && ageMs <= lengthMs;
	}

	#evictOldest(): void {
		for (const [key, {appendedAtMs}] of this.#owners) {
			if (this.#owners.size <= this.#options.maximumKeys) {
				return;
			}

			this.#owners.delete(key);
			this.#coveredFromMs = Math.max(this.#coveredFromMs ?? 0, appendedAtMs + 1);
		}
	}
}
