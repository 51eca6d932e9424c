/**
 * Who owns which key: a fold of the claims stream that every instance computes alike.
 *
 * The first claim of a key inside its window owns it for good; ownership never moves. A claim outside the window
 * counts for no reader, so an append that takes effect late cannot start a run after the key's fate is known.
 */
import type {IncarnationId} from '../../model/ids.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';
import {type Claim, claimRecordSchema} from './claim-record.js';
import type {ClaimWindow} from './claim-window.js';
import {mintedAtMs, type IdempotencyKey} from './idempotency-key.js';

export type FoldedRecord = {
	readonly offset: number;
	readonly appendedAtMs: number;
	readonly value: unknown;
};

export type ClaimOwner = {
	readonly owner: IncarnationId;
	readonly fingerprint: Fingerprint;
	readonly appendedAtMs: number;
};

export type ClaimFoldOptions = {
	readonly window: ClaimWindow;
	/** Bound on keys that are remembered; beyond it the oldest go, and keys of their age are refused. */
	readonly maximumKeys: number;
};

export class ClaimFold {
	readonly #options: ClaimFoldOptions;
	/** In log order. */
	readonly #owners = new Map<IdempotencyKey, ClaimOwner>();
	#throughOffset = 0;
	#latestAppendMs = Number.NEGATIVE_INFINITY;
	/** Claims appended at or after this time are all known; `undefined` until the first read. */
	#coveredFromMs: number | undefined;

	constructor(options: ClaimFoldOptions) {
		this.#options = options;
	}

	/** Offset of the last record that was folded in. */
	get throughOffset(): number {
		return this.#throughOffset;
	}

	get keyCount(): number {
		return this.#owners.size;
	}

	/** Folds one page of a read that began right after `throughOffset`. Records folded before are passed over. */
	fold(records: readonly FoldedRecord[], earliestOffset: number): void {
		this.#noteGap(earliestOffset);
		for (const record of records) {
			if (record.offset > this.#throughOffset) {
				this.#foldRecord(record);
			}
		}

		this.#forgetOldest();
	}

	ownerOf(key: IdempotencyKey): ClaimOwner | undefined {
		return this.#owners.get(key);
	}

	/** Whether the log was read at all. */
	get hasRead(): boolean {
		return this.#coveredFromMs !== undefined;
	}

	/** Whether a claim of this key, had there been one, would be known. */
	covers(key: IdempotencyKey): boolean {
		const {clockSkewMs} = this.#options.window;
		return this.#coveredFromMs !== undefined && mintedAtMs(key) - clockSkewMs >= this.#coveredFromMs;
	}

	/** Whether no record that is appended from here on can claim this key; the log's clock may step back by the skew. */
	isClosed(key: IdempotencyKey): boolean {
		const {openMs, clockSkewMs} = this.#options.window;
		return this.#latestAppendMs > mintedAtMs(key) + openMs + clockSkewMs;
	}

	/** Reading began late or fell behind what the log keeps: older claims are not known. */
	#noteGap(earliestOffset: number): void {
		if (earliestOffset > this.#throughOffset + 1) {
			this.#coveredFromMs = Number.POSITIVE_INFINITY;
			this.#throughOffset = earliestOffset - 1;
			return;
		}

		this.#coveredFromMs ??= Number.NEGATIVE_INFINITY;
	}

	#foldRecord(record: FoldedRecord): void {
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
			this.#foldClaim(claim, parsed.data.owner, record.appendedAtMs);
		}
	}

	#foldClaim(claim: Claim, owner: IncarnationId, appendedAtMs: number): void {
		const {key, fingerprint} = claim;
		if (!this.#owners.has(key) && this.#isInWindow(key, appendedAtMs)) {
			this.#owners.set(key, {owner, fingerprint, appendedAtMs});
		}
	}

	#isInWindow(key: IdempotencyKey, appendedAtMs: number): boolean {
		const {openMs, clockSkewMs} = this.#options.window;
		const ageMs = appendedAtMs - mintedAtMs(key);
		return ageMs >= -clockSkewMs && ageMs <= openMs;
	}

	#forgetOldest(): void {
		for (const [key, {appendedAtMs}] of this.#owners) {
			if (this.#owners.size <= this.#options.maximumKeys) {
				return;
			}

			this.#owners.delete(key);
			this.#coveredFromMs = Math.max(this.#coveredFromMs ?? 0, appendedAtMs + 1);
		}
	}
}
