/** Handles keys that are owned by this table's process or by a process whose table was handed over to it. */
import {notRun, unknown} from '../runs/outcomes.js';
import type {Outcome} from '../outcome.js';
import type {RunDecision} from '../runs/run-decision.js';
import type {RunRequest} from '../runs/run-entry.js';
import type {RunTable} from '../runs/run-table.js';

/** Whether the outcome shows that the claim was abandoned. The process that made the claim then never runs the request. */
export function isClaimAbandoned(outcome: Outcome | undefined): boolean {
	return (outcome?.type === 'not-run' || outcome?.type === 'unknown') && outcome.reason === 'claim-unproven';
}

/** Decides how an attempt with an owned key is handled. A key without an entry may have run already and must not run again. */
export function decideOwnedKey(runs: RunTable, request: RunRequest): RunDecision {
	if (!runs.has(request.id)) {
		return {type: 'end', outcome: unknown('answer-not-held')};
	}

	if (isClaimAbandoned(runs.outcomeOf(request.id))) {
		return {type: 'end', outcome: notRun('claim-unproven')};
	}

	return runs.decide(request);
}
