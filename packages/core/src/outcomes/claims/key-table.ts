/**
 * The state machine of keys that callers mint: claimed through the log, then run at most once by the claim's owner.
 *
 * `not-run` is told only where it holds for every send of the key: its owner voids it, or the log shows that no claim
 * was made and none can count any more. Otherwise an earlier send may have run through another instance, and the
 * caller is told `unknown`, unless it said that this send is the first.
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
import type {ClaimFold} from './claim-fold.js';
import type {ClaimWindow} from './claim-window.js';
import type {IdempotencyKey} from './idempotency-key.js';
import type {ClaimResolution, KeyDecision} from './key-decision.js';
import {beginOwned, isGivenUp} from './owned-keys.js';

export type KeyTableOptions = {
	readonly clock: Clock;
	readonly window: ClaimWindow;
	/** How long an end is kept for resends; never less than the claim window stays open. */
	readonly keepEndedMs: number;
	readonly maximumEntries: number;
	readonly maximumRunning?: number;
	readonly maximumAnswerBytes: number;
};

export type KeySend = {
	readonly key: IdempotencyKey;
	readonly fingerprint: Fingerprint;
	/** Sends of this request before this one, if the caller counts them. */
	readonly previousAttempts?: number;
};

export type KeyTableParts = {
	readonly owner: IncarnationId;
	readonly fold: ClaimFold;
	readonly batcher: ClaimBatcher;
};

/** A table of the runs of keys, also for the keys of a process that handed its table over. */
export function createKeyRuns(options: KeyTableOptions): RunTable {
	const {openMs, clockSkewMs} = options.window;
	const keepEndedMs = Math.max(options.keepEndedMs, openMs + clockSkewMs + clockSkewMs);
	return new RunTable({...options, keepEndedMs});
}

export class KeyTable {
	readonly #parts: KeyTableParts;
	readonly #runs: RunTable;

	constructor(options: KeyTableOptions, parts: KeyTableParts) {
		this.#parts = parts;
		this.#runs = createKeyRuns(options);
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
	 * Decides a send that came from a caller.
	 * @param canClaim - false while the log is known to take no appends
	 */
	begin(send: KeySend, canClaim = true): KeyDecision {
		const request = toRequest(send);
		const isHeld = this.#runs.has(request.id);
		if (isHeld && !isGivenUp(this.#runs.outcomeOf(request.id))) {
			return this.#runs.begin(request);
		}

		const claim = this.#parts.fold.ownerOf(send.key);
		if (claim && this.#parts.fold.covers(send.key)) {
			return claim.owner === this.#parts.owner
				? beginOwned(this.#runs, request)
				: {type: 'elsewhere', owner: claim.owner};
		}

		return this.#refusalOfUnclaimed(send, isHeld || !canClaim) ?? this.#queueClaim(send);
	}

	/** Decides a send that another instance passed on because the first claim of its key is this process's. */
	beginOwned(send: KeySend): RunDecision {
		return beginOwned(this.#runs, toRequest(send));
	}

	/** How a queued claim stands after the fold or the batcher moved. */
	resolve(key: IdempotencyKey): ClaimResolution {
		const {fold, batcher, owner} = this.#parts;
		const claim = fold.ownerOf(key);
		if (!fold.covers(key) || (!claim && batcher.isPast(key, fold.throughOffset))) {
			return {type: 'end', outcome: this.giveUp(key)};
		}

		if (!claim) {
			return {type: 'pending'};
		}

		batcher.remove(key);
		if (claim.owner === owner) {
			return {type: 'run'};
		}

		this.#runs.release(key);
		return {type: 'elsewhere', owner: claim.owner};
	}

	/**
	 * The claim was not proven in time. If a claim by this process may be in the log, now or later, this process never
	 * runs the key's request from here on.
	 */
	giveUp(key: IdempotencyKey): Outcome {
		const {batcher} = this.#parts;
		const outcome = unproven('claim-unproven', this.#runs.isFirstAttempt(key));
		if (batcher.mayTakeEffect(key)) {
			this.#runs.end(key, outcome);
		} else {
			this.#runs.release(key);
		}

		batcher.remove(key);
		return outcome;
	}

	/** Records the end of a run that `resolve` or `begin` started. */
	end(key: IdempotencyKey, outcome: Outcome): void {
		this.#runs.end(key, outcome);
	}

	/** From here on no run and no claim starts. */
	seal(): void {
		this.#runs.seal();
	}

	/** What the successor takes over. The table must be sealed and its runs ended. */
	toState(): RunTableState {
		return this.#runs.toState();
	}

	#refusalOfUnclaimed(send: KeySend, cannotClaim: boolean): KeyDecision | undefined {
		const {fold} = this.#parts;
		const isFirst = send.previousAttempts === 0;
		if (fold.isClosed(send.key) && fold.covers(send.key)) {
			return {type: 'end', outcome: notRun('key-too-old')};
		}

		if (cannotClaim || !fold.hasRead) {
			return {type: 'end', outcome: unproven('claim-unproven', isFirst)};
		}

		if (!fold.covers(send.key) || fold.isClosed(send.key)) {
			return {type: 'end', outcome: unproven('key-too-old', isFirst)};
		}

		if (this.#runs.isSealed) {
			return {type: 'sealed'};
		}

		const outcome = isFirst ? notRun('answers-held-full') : unknown('claim-unproven');
		return this.#runs.hasRoom ? undefined : {type: 'end', outcome};
	}

	#queueClaim(send: KeySend): KeyDecision {
		const decision = this.#runs.begin(toRequest(send));
		if (decision.type !== 'run') {
			return decision;
		}

		this.#parts.batcher.add({key: send.key, fingerprint: send.fingerprint});
		return {type: 'claim'};
	}
}

function toRequest(send: KeySend): RunRequest {
	return {id: send.key, fingerprint: send.fingerprint, previousAttempts: send.previousAttempts};
}

function unproven(reason: Extract<NotRunReason, 'claim-unproven' | 'key-too-old'>, isFirst: boolean): Outcome {
	return isFirst ? notRun(reason) : unknown(reason);
}
