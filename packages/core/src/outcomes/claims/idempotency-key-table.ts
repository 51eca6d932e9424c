/**
 * Tracks requests with idempotency keys. A key is claimed through the log and then run at most once by its owner.
 *
 * `not-run` is reported only if it holds for all attempts with the key: the owner abandoned its claim, or the log shows
 * that no claim exists and none can become valid any more. Otherwise an earlier attempt may have run on another
 * instance, and the outcome is `unknown`, unless the caller marked this attempt as its first.
 */
import type {Clock} from '../../model/clock.js';
import type {IncarnationId} from '../../model/ids.js';
import type {Outcome} from '../outcome.js';
import type {NotRunReason} from '../not-run-reason.js';
import {notRun, unknown} from '../runs/outcomes.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';
import type {RunDecision} from '../runs/run-decision.js';
import type {RunRequest} from '../runs/run-entry.js';
import type {RunTableState} from '../runs/run-table-state.js';
import {RunTable} from '../runs/run-table.js';
import type {ClaimBatcher} from './claim-batcher.js';
import type {ClaimIndex} from './claim-index.js';
import type {ClaimWindow} from './claim-window.js';
import type {IdempotencyKey} from './idempotency-key.js';
import type {ClaimResolution, IdempotencyKeyDecision} from './idempotency-key-decision.js';
import {decideOwnedKey, isClaimAbandoned} from './owned-keys.js';

export type IdempotencyKeyTableOptions = {
	readonly clock: Clock;
	readonly window: ClaimWindow;
	/** Time for which an outcome is kept for repeated attempts; raised to the time for which the claim window is open if it is shorter. */
	readonly outcomeRetentionMs: number;
	readonly maximumEntries: number;
	readonly maximumRunning?: number;
	readonly maximumAnswerBytes: number;
};

export type KeyedRequest = {
	readonly key: IdempotencyKey;
	readonly fingerprint: Fingerprint;
	/** Number of earlier attempts of the same request, if the caller counts them. */
	readonly previousAttempts?: number;
};

export type IdempotencyKeyTableParts = {
	readonly owner: IncarnationId;
	readonly claimIndex: ClaimIndex;
	readonly batcher: ClaimBatcher;
};

/** Creates a run table for idempotency keys, also for the keys of a process that handed its table over. */
export function createKeyRunTable(options: IdempotencyKeyTableOptions): RunTable {
	const {lengthMs, clockSkewMs} = options.window;
	const outcomeRetentionMs = Math.max(options.outcomeRetentionMs, lengthMs + clockSkewMs + clockSkewMs);
	return new RunTable({...options, outcomeRetentionMs});
}

export class IdempotencyKeyTable {
	readonly #parts: IdempotencyKeyTableParts;
	readonly #runs: RunTable;

	constructor(options: IdempotencyKeyTableOptions, parts: IdempotencyKeyTableParts) {
		this.#parts = parts;
		this.#runs = createKeyRunTable(options);
	}

	get runningCount(): number {
		return this.#runs.runningCount;
	}

	get entryCount(): number {
		return this.#runs.entryCount;
	}

	get heldAnswerBytes(): number {
		return this.#runs.heldAnswerBytes;
	}

	/**
	 * Decides how an attempt that came directly from a caller is handled.
	 * @param canClaim - false while the log is known to accept no appends
	 */
	decide(request: KeyedRequest, canClaim = true): IdempotencyKeyDecision {
		const runRequest = toRunRequest(request);
		const isKnown = this.#runs.has(runRequest.id);
		if (isKnown && !isClaimAbandoned(this.#runs.outcomeOf(runRequest.id))) {
			return this.#runs.decide(runRequest);
		}

		const claim = this.#parts.claimIndex.ownerOf(request.key);
		if (claim && this.#parts.claimIndex.coversKey(request.key)) {
			return claim.owner === this.#parts.owner
				? decideOwnedKey(this.#runs, runRequest)
				: {type: 'elsewhere', owner: claim.owner};
		}

		return this.#rejectionOfUnclaimed(request, isKnown || !canClaim) ?? this.#queueClaim(request);
	}

	/** Decides how an attempt is handled that another instance forwarded because this process owns the key. */
	decideOwnedKey(request: KeyedRequest): RunDecision {
		return decideOwnedKey(this.#runs, toRunRequest(request));
	}

	/** Returns the state of a queued claim after the claim index or the batcher was updated. */
	resolveClaim(key: IdempotencyKey): ClaimResolution {
		const {claimIndex, batcher, owner} = this.#parts;
		const claim = claimIndex.ownerOf(key);
		if (!claimIndex.coversKey(key) || (!claim && batcher.isAcknowledgedThrough(key, claimIndex.throughOffset))) {
			return {type: 'end', outcome: this.abandonClaim(key)};
		}

		if (!claim) {
			return {type: 'pending'};
		}

		batcher.remove(key);
		if (claim.owner === owner) {
			return {type: 'run'};
		}

		this.#runs.removeUnexecuted(key);
		return {type: 'elsewhere', owner: claim.owner};
	}

	/**
	 * Abandons a claim that was not confirmed in time. If a claim by this process may be in the log, now or in future,
	 * this process never runs the request from now on.
	 */
	abandonClaim(key: IdempotencyKey): Outcome {
		const {batcher} = this.#parts;
		const outcome = unprovenOutcome('claim-unproven', this.#runs.isFirstAttempt(key));
		if (batcher.mayTakeEffect(key)) {
			this.#runs.recordOutcome(key, outcome);
		} else {
			this.#runs.removeUnexecuted(key);
		}

		batcher.remove(key);
		return outcome;
	}

	/** Records the outcome of a run that `resolveClaim` or `decide` started. */
	recordOutcome(key: IdempotencyKey, outcome: Outcome): void {
		this.#runs.recordOutcome(key, outcome);
	}

	/** Stops new runs and new claims from starting. */
	seal(): void {
		this.#runs.seal();
	}

	/** Returns the state for the successor. The table must be sealed and all its runs must have ended. */
	toState(): RunTableState {
		return this.#runs.toState();
	}

	#rejectionOfUnclaimed(request: KeyedRequest, cannotClaim: boolean): IdempotencyKeyDecision | undefined {
		const {claimIndex} = this.#parts;
		const isFirst = request.previousAttempts === 0;
		if (claimIndex.isClaimWindowClosed(request.key) && claimIndex.coversKey(request.key)) {
			return {type: 'end', outcome: notRun('key-too-old')};
		}

		if (cannotClaim || !claimIndex.hasRead) {
			return {type: 'end', outcome: unprovenOutcome('claim-unproven', isFirst)};
		}

		if (!claimIndex.coversKey(request.key) || claimIndex.isClaimWindowClosed(request.key)) {
			return {type: 'end', outcome: unprovenOutcome('key-too-old', isFirst)};
		}

		if (this.#runs.isSealed) {
			return {type: 'sealed'};
		}

		const outcome = isFirst ? notRun('answers-held-full') : unknown('claim-unproven');
		return this.#runs.hasCapacity ? undefined : {type: 'end', outcome};
	}

	#queueClaim(request: KeyedRequest): IdempotencyKeyDecision {
		const decision = this.#runs.decide(toRunRequest(request));
		if (decision.type !== 'run') {
			return decision;
		}

		this.#parts.batcher.add({key: request.key, fingerprint: request.fingerprint});
		return {type: 'claim'};
	}
}

function toRunRequest(request: KeyedRequest): RunRequest {
	return {id: request.key, fingerprint: request.fingerprint, previousAttempts: request.previousAttempts};
}

function unprovenOutcome(reason: Extract<NotRunReason, 'claim-unproven' | 'key-too-old'>, isFirst: boolean): Outcome {
	return isFirst ? notRun(reason) : unknown(reason);
}
