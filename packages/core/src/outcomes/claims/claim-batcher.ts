/**
 * Groups claims into appends: one append in flight, everything that waits goes into the next.
 *
 * A claim waits until the fold shows who owns its key or its request gives up. An append whose acknowledgement was
 * lost is followed by another with the same owner: whichever takes effect first decides, and doubles change nothing.
 */
import type {Claim} from './claim-record.js';
import type {IdempotencyKey} from './idempotency-key.js';

export type AppendResult =
	| {readonly type: 'acknowledged'; readonly offset: number}
	/** It may have taken effect, now or later. */
	| {readonly type: 'in-doubt'}
	/** It took no effect. */
	| {readonly type: 'failed'};

export class ClaimBatcher {
	readonly #maximumClaims: number;
	/** Not in an append at present. */
	readonly #waiting = new Map<IdempotencyKey, Claim>();
	/** In the append in flight. */
	#inFlight: ReadonlyMap<IdempotencyKey, Claim> | undefined;
	/** In an append that may have taken effect or may yet do so. */
	readonly #inDoubt = new Set<IdempotencyKey>();
	/** Acknowledged at an offset that the fold has not reached yet. */
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

	/** The claims of the next append, or `undefined` while one is in flight or none waits. */
	take(): readonly Claim[] | undefined {
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

	/** The append in flight ended. */
	appended(result: AppendResult): void {
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

	/** Whether the fold has passed the acknowledged claim of this key. */
	isPast(key: IdempotencyKey, throughOffset: number): boolean {
		const offset = this.#acknowledged.get(key);
		return offset !== undefined && offset <= throughOffset;
	}

	/** Whether a claim of this key by this process may be in the log, now or later. */
	mayTakeEffect(key: IdempotencyKey): boolean {
		return this.#inDoubt.has(key) || this.#acknowledged.has(key) || this.#inFlight?.has(key) === true;
	}

	/** The claim is decided or its request gave up; an append in flight may still take effect. */
	remove(key: IdempotencyKey): void {
		this.#waiting.delete(key);
		this.#acknowledged.delete(key);
		this.#inDoubt.delete(key);
		if (this.#inFlight?.has(key)) {
			this.#inFlight = new Map([...this.#inFlight].filter(([other]) => other !== key));
		}
	}
}
