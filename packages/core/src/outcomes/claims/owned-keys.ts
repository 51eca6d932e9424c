/** Sends under keys whose first claim is known to be this table's: its own process's, or one that it took over from. */
import {notRun, unknown} from '../runs/outcomes.js';
import type {Outcome} from '../outcome.js';
import type {RunDecision} from '../runs/run-decision.js';
import type {RunRequest} from '../runs/run-entry.js';
import type {RunTable} from '../runs/run-table.js';

/** Whether an end says that the claim was given up: its holder never runs the key's request. */
export function isGivenUp(outcome: Outcome | undefined): boolean {
	return (outcome?.type === 'not-run' || outcome?.type === 'unknown') && outcome.reason === 'claim-unproven';
}

/** Decides a send under an owned key. A key that the table does not hold may have run and is never begun anew. */
export function beginOwned(runs: RunTable, request: RunRequest): RunDecision {
	if (!runs.has(request.id)) {
		return {type: 'end', outcome: unknown('answer-not-held')};
	}

	if (isGivenUp(runs.outcomeOf(request.id))) {
		return {type: 'end', outcome: notRun('claim-unproven')};
	}

	return runs.begin(request);
}
