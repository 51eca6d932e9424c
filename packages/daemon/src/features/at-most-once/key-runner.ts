/** Runs requests under keys that this process claims, or whose claims it took over. */
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
	/** By the process that made them. */
	readonly adoptedKeyRuns: Map<IncarnationId, RunTable>;
	readonly claimLog: ClaimLog;
	readonly runs: RunsInFlight;
	/** Passes a send on to the owner of its key. */
	readonly forward: (send: BoundCall, owner: IncarnationId) => Promise<Outcome>;
};

/** Records the end of a run in the table that began it. */
type Finish = (outcome: Outcome) => void;

type KeySend = {
	readonly send: BoundCall;
	readonly next: CallHandler;
	/** Tells runs of own claims from those of adopted ones. */
	readonly runId: string;
};

export class KeyRunner {
	readonly #parts: KeyRunnerParts;

	constructor(parts: KeyRunnerParts) {
		this.#parts = parts;
	}

	/** A send that came from a caller. */
	handle(send: BoundCall, key: IdempotencyKey, next: CallHandler): LocalDecision {
		const {keyTable: table, claimLog: claims} = this.#parts;
		const decision = table.decide({key, ...request(send)}, claims.isAvailable);
		switch (decision.type) {
			case 'claim': {
				return {type: 'here', outcome: this.#parts.runs.start(key, async () => this.#claim(send, key, next))};
			}

			case 'elsewhere': {
				return this.#parts.adoptedKeyRuns.has(decision.owner) ? this.handleOwnedKey(send, key, decision.owner, next) : decision;
			}

			case 'run':
			case 'join':
			case 'end':
			case 'sealed': {
				return this.#act(decision, {send, next, runId: key}, outcome => {
					table.recordOutcome(key, outcome);
				});
			}
		}
	}

	/** A send under a key whose first claim is the owner's. */
	handleOwnedKey(send: BoundCall, key: IdempotencyKey, owner: IncarnationId, next: CallHandler): LocalDecision {
		const {keyTable: table, adoptedKeyRuns: adopted} = this.#parts;
		if (owner === this.#parts.owner) {
			return this.#act(table.decideOwnedKey({key, ...request(send)}), {send, next, runId: key}, outcome => {
				table.recordOutcome(key, outcome);
			});
		}

		const runs = adopted.get(owner);
		if (!runs) {
			return {type: 'elsewhere', owner};
		}

		return this.#act(decideOwnedKey(runs, {id: key, ...request(send)}), {send, next, runId: `${owner}/${key}`}, outcome => {
			runs.recordOutcome(key, outcome);
		});
	}

	#act(decision: RunDecision, {send, next, runId}: KeySend, finish: Finish): LocalDecision {
		switch (decision.type) {
			case 'run': {
				return {type: 'here', outcome: this.#parts.runs.start(runId, async () => run(send, next, finish))};
			}

			case 'join': {
				return {type: 'here', outcome: withinDeadline(this.#join(runId), send.call.deadlineAtMs, this.#parts.clock)};
			}

			case 'end': {
				return decidedHere(decision.outcome);
			}

			case 'sealed': {
				return decision;
			}
		}
	}

	async #claim(send: BoundCall, key: IdempotencyKey, next: CallHandler): Promise<Outcome> {
		const {claimLog: claims, keyTable: table, forward} = this.#parts;
		const hop = send.call.trace.hop('claim');
		const resolution = await claims.confirmClaim(key, send.call.deadlineAtMs);
		hop.end(resolution.type);
		switch (resolution.type) {
			case 'run': {
				return run(send, next, outcome => {
					table.recordOutcome(key, outcome);
				});
			}

			case 'elsewhere': {
				const decision = this.handleOwnedKey(send, key, resolution.owner, next);
				return decision.type === 'here' ? decision.outcome : forward(send, resolution.owner);
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

async function run(send: BoundCall, next: CallHandler, finish: Finish): Promise<Outcome> {
	const outcome = await next(detachCall(send.call));
	finish(outcome);
	return outcome;
}

function request({fingerprint, call: {previousAttempts}}: BoundCall) {
	return {fingerprint, previousAttempts};
}
