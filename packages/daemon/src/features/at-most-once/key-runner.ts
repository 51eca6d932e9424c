/** Runs requests with idempotency keys that this process claimed, or whose runs it adopted from a stopped process. */
import type {Clock, IncarnationId} from '@cairnbank/core';
import {
	decideOwnedKey, toStoredOutcome, type IdempotencyKey, type IdempotencyKeyTable, type Outcome, type RunDecision, type RunTable,
} from '@cairnbank/core/outcomes';
import type {CallHandler} from '../calls/call-handler.js';
import type {BoundCall} from './bound-call.js';
import type {ClaimLog} from './claim-log.js';
import {detachCall} from './detached-call.js';
import type {LocalDecision} from './local-decision.js';
import type {RunsInFlight} from './runs-in-flight.js';
import {decidedHere} from './ticket-runner.js';
import {withinDeadline} from './within-deadline.js';

export type KeyRunnerParts = {
	readonly owner: IncarnationId;
	readonly clock: Clock;
	readonly keyTable: IdempotencyKeyTable;
	/** Adopted run tables, by the process that claimed the keys. */
	readonly adoptedKeyRuns: Map<IncarnationId, RunTable>;
	readonly claimLog: ClaimLog;
	readonly runs: RunsInFlight;
	/** Forwards a call to the owner of its key. */
	readonly forward: (boundCall: BoundCall, owner: IncarnationId) => Promise<Outcome>;
};

/** Records the outcome of a run in the table that started it. */
type RecordOutcome = (outcome: Outcome) => void;

type RunParts = {
	readonly boundCall: BoundCall;
	readonly next: CallHandler;
	/** Distinguishes runs of own claims from runs of adopted claims. */
	readonly runId: string;
};

export class KeyRunner {
	readonly #parts: KeyRunnerParts;

	constructor(parts: KeyRunnerParts) {
		this.#parts = parts;
	}

	/** Handles a call that came from a caller. */
	handle(boundCall: BoundCall, key: IdempotencyKey, next: CallHandler): LocalDecision {
		const {keyTable, claimLog} = this.#parts;
		const decision = keyTable.decide({key, ...attemptOf(boundCall)}, claimLog.isAvailable);
		switch (decision.type) {
			case 'claim': {
				return {type: 'here', outcome: this.#parts.runs.start(key, async () => this.#claim(boundCall, key, next))};
			}

			case 'elsewhere': {
				return this.#parts.adoptedKeyRuns.has(decision.owner) ? this.handleOwnedKey(boundCall, key, decision.owner, next) : decision;
			}

			case 'run':
			case 'join':
			case 'end':
			case 'sealed': {
				return this.#executeDecision(decision, {boundCall, next, runId: key}, outcome => {
					keyTable.recordOutcome(key, outcome);
				});
			}
		}
	}

	/** Handles a call whose key was first claimed by `owner`. */
	handleOwnedKey(boundCall: BoundCall, key: IdempotencyKey, owner: IncarnationId, next: CallHandler): LocalDecision {
		const {keyTable, adoptedKeyRuns} = this.#parts;
		if (owner === this.#parts.owner) {
			return this.#executeDecision(keyTable.decideOwnedKey({key, ...attemptOf(boundCall)}), {boundCall, next, runId: key}, outcome => {
				keyTable.recordOutcome(key, outcome);
			});
		}

		const runs = adoptedKeyRuns.get(owner);
		if (!runs) {
			return {type: 'elsewhere', owner};
		}

		return this.#executeDecision(decideOwnedKey(runs, {id: key, ...attemptOf(boundCall)}), {boundCall, next, runId: `${owner}/${key}`}, outcome => {
			runs.recordOutcome(key, outcome);
		});
	}

	#executeDecision(decision: RunDecision, {boundCall, next, runId}: RunParts, recordOutcome: RecordOutcome): LocalDecision {
		switch (decision.type) {
			case 'run': {
				return {type: 'here', outcome: this.#parts.runs.start(runId, async () => run(boundCall, next, recordOutcome))};
			}

			case 'join': {
				return {type: 'here', outcome: withinDeadline(this.#join(runId), boundCall.call.deadlineAtMs, this.#parts.clock)};
			}

			case 'end': {
				return decidedHere(decision.outcome);
			}

			case 'sealed': {
				return decision;
			}
		}
	}

	async #claim(boundCall: BoundCall, key: IdempotencyKey, next: CallHandler): Promise<Outcome> {
		const {claimLog, keyTable, forward} = this.#parts;
		const hop = boundCall.call.trace.hop('claim');
		const resolution = await claimLog.confirmClaim(key, boundCall.call.deadlineAtMs);
		hop.end(resolution.type);
		switch (resolution.type) {
			case 'run': {
				return run(boundCall, next, outcome => {
					keyTable.recordOutcome(key, outcome);
				});
			}

			case 'elsewhere': {
				const decision = this.handleOwnedKey(boundCall, key, resolution.owner, next);
				return decision.type === 'here' ? decision.outcome : forward(boundCall, resolution.owner);
			}

			case 'end': {
				return resolution.outcome;
			}
		}
	}

	async #join(runId: string): Promise<Outcome> {
		return toStoredOutcome(await this.#parts.runs.join(runId));
	}
}

async function run(boundCall: BoundCall, next: CallHandler, recordOutcome: RecordOutcome): Promise<Outcome> {
	const outcome = await next(detachCall(boundCall.call));
	recordOutcome(outcome);
	return outcome;
}

function attemptOf({fingerprint, call: {previousAttempts}}: BoundCall) {
	return {fingerprint, previousAttempts};
}
