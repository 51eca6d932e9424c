/**
 * Batches claims into appends to the log. At most one append is in flight; all waiting claims go into the next one.
 *
 * A claim is tracked until the claim index shows who owns its key or until its request stops waiting for it. If the
 * acknowledgement of an append is lost, the claim is appended again with the same owner. The first append that takes
 * effect decides, and duplicates have no effect.
 */
import type {Claim} from './claim-record.js';
import type {IdempotencyKey} from './idempotency-key.js';

export type AppendResult =
	| {readonly type: 'acknowledged'; readonly offset: number}
	/** The append may have taken effect or may do so later. */
	| {readonly type: 'in-doubt'}
	/** The append had no effect. */
	| {readonly type: 'failed'};

export class ClaimBatcher {
	readonly #maximumClaims: number;
	/** Claims that are not part of the append in flight. */
	readonly #waiting = new Map<IdempotencyKey, Claim>();
	/** Claims in the append in flight. */
	#inFlight: ReadonlyMap<IdempotencyKey, Claim> | undefined;
	/** Keys whose append may have taken effect or may still do so. */
	readonly #inDoubt = new Set<IdempotencyKey>();
	/** Offsets of acknowledged claims that the claim index has not reached yet. */
	readonly #acknowledged = new Map<IdempotencyKey, number>();

	constructor(maximumClaims: number) {
		this.#maximumClaims = maximumClaims;
	}

	get waitingCount(): number {
		return this.#waiting.size;
	}

	add(claim: Claim): void {
		this.#waiting.set(claim.key, claim);
	}

	/** Returns the claims for the next append, or `undefined` while an append is in flight or no claim is waiting. */
	takeBatch(): readonly Claim[] | undefined {
		if (this.#inFlight ?? this.#waiting.size === 0) {
			return undefined;
		}

		const claims = [...this.#waiting.values()].slice(0, this.#maximumClaims);
		for (const {key} of claims) {
			this.#waiting.delete(key);
		}

		this.#inFlight = new Map(claims.map(claim => [claim.key, claim]));
		return claims;
	}

	/** Records the result of the append in flight. */
	completeAppend(result: AppendResult): void {
		const claims = this.#inFlight ?? new Map<IdempotencyKey, Claim>();
		this.#inFlight = undefined;
		for (const [key, claim] of claims) {
			if (result.type === 'acknowledged') {
				this.#acknowledged.set(key, result.offset);
				continue;
			}

			this.#waiting.set(key, claim);
			if (result.type === 'in-doubt') {
				this.#inDoubt.add(key);
			}
		}
	}

	/** Whether the claim of this key was acknowledged at or before `throughOffset`, through which the log was read. */
	isAcknowledgedThrough(key: IdempotencyKey, throughOffset: number): boolean {
		const offset = this.#acknowledged.get(key);
		return offset !== undefined && offset <= throughOffset;
	}

	/** Whether a claim of this key by this process may be in the log, now or in future. */
	mayTakeEffect(key: IdempotencyKey): boolean {
		return this.#inDoubt.has(key) || this.#acknowledged.has(key) || this.#inFlight?.has(key) === true;
	}

	/** Stops tracking a claim that is decided or whose request no longer waits for it. An append in flight may still take effect. */
	remove(key: IdempotencyKey): void {
		this.#waiting.delete(key);
		this.#acknowledged.delete(key);
		this.#inDoubt.delete(key);
		if (this.#inFlight?.has(key)) {
			this.#inFlight = new Map([...this.#inFlight].filter(([claimedKey]) => claimedKey !== key));
		}
	}
}
