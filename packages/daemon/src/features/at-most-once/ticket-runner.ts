/** Runs requests with tickets whose tables this process holds. */
import type {Clock} from '@cairnbank/core';
import {
	parseTicket, notRun, toStoredOutcome, type Outcome, type Ticket, type TicketTableSet,
} from '@cairnbank/core/outcomes';
import type {CallHandler} from '../calls/call-handler.js';
import type {BoundCall} from './bound-call.js';
import {detachCall} from './detached-call.js';
import type {LocalDecision} from './local-decision.js';
import type {RunsInFlight} from './runs-in-flight.js';
import {withinDeadline} from './within-deadline.js';

export class TicketRunner {
	readonly #ticketTables: TicketTableSet;
	readonly #runs: RunsInFlight;
	readonly #clock: Clock;

	constructor(ticketTables: TicketTableSet, runs: RunsInFlight, clock: Clock) {
		this.#ticketTables = ticketTables;
		this.#runs = runs;
		this.#clock = clock;
	}

	handle(boundCall: BoundCall, ticketText: string, next: CallHandler): LocalDecision {
		const ticket = parseTicket(ticketText);
		if (!ticket) {
			return decidedHere(notRun('ticket-invalid'));
		}

		const {fingerprint, call: {previousAttempts}} = boundCall;
		const decision = this.#ticketTables.decide({ticket, fingerprint, previousAttempts});
		switch (decision.type) {
			case 'run': {
				return {type: 'here', outcome: this.#runs.start(runId(ticket), async () => this.#run(ticket, boundCall, next))};
			}

			case 'join': {
				return {type: 'here', outcome: withinDeadline(this.#join(ticket), boundCall.call.deadlineAtMs, this.#clock)};
			}

			case 'end': {
				return decidedHere(decision.outcome);
			}

			case 'sealed':
			case 'elsewhere': {
				return decision;
			}
		}
	}

	async #run(ticket: Ticket, boundCall: BoundCall, next: CallHandler): Promise<Outcome> {
		const outcome = await next(detachCall(boundCall.call));
		this.#ticketTables.recordOutcome(ticket, outcome);
		return outcome;
	}

	async #join(ticket: Ticket): Promise<Outcome> {
		return toStoredOutcome(await this.#runs.join(runId(ticket)));
	}
}

/** Returns a decision with an outcome that is already known. */
export function decidedHere(outcome: Outcome): LocalDecision {
	return {type: 'here', outcome: Promise.resolve(outcome)};
}

function runId(ticket: Ticket): string {
	return `${ticket.owner}/${ticket.sequence}`;
}
