/**
 * Tracks the tickets that a process issued.
 *
 * An unused ticket takes no memory: its MAC proves that it was issued. Entries are kept for longer than a ticket is
 * valid, so a valid ticket without an entry never ran. When a ticket is rejected because the table is full, only its
 * sequence number is stored as void. When the limit of such numbers is reached, all unused tickets issued so far
 * become void.
 */
import {Buffer} from 'node:buffer';
import type {Clock} from '../../model/clock.js';
import type {IncarnationId} from '../../model/ids.js';
import {notRun, unknown} from '../runs/outcomes.js';
import type {RunDecision} from '../runs/run-decision.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';
import type {Outcome} from '../outcome.js';
import {RunTable} from '../runs/run-table.js';
import {formatTicket, type Ticket} from './ticket.js';
import {TicketIssuer} from './ticket-issuer.js';
import type {TicketTableState} from './ticket-table-state.js';

/** Expiries are rounded up to whole milliseconds. */
const expiryRoundingMs = 1;

export type TicketTableOptions = {
	readonly clock: Clock;
	/** Time for which a ticket is valid after it was issued. */
	readonly lifetimeMs: number;
	/** Time for which an outcome is kept for repeated attempts; raised to `lifetimeMs` if it is shorter. */
	readonly outcomeRetentionMs: number;
	readonly maximumEntries: number;
	readonly maximumRunning?: number;
	readonly maximumAnswerBytes: number;
	/** Limit on the individually stored sequence numbers of void tickets. */
	readonly maximumVoided: number;
};

export type TicketedRequest = {
	readonly ticket: Ticket;
	readonly fingerprint: Fingerprint;
	/** Number of earlier attempts of the same request, if the caller counts them. */
	readonly previousAttempts?: number;
};

export type IssuedTicket = {
	readonly text: string;
	readonly expiresInMs: number;
};

export class TicketTable {
	/** Creates the table of a process that has just started. */
	static create(options: TicketTableOptions, owner: IncarnationId, macKey: Uint8Array): TicketTable {
		return new TicketTable(options, new TicketIssuer({owner, macKey}));
	}

	/** Creates the table of a stopped process in its only successor. */
	static adopt(options: TicketTableOptions, state: TicketTableState): TicketTable {
		const macKey = Buffer.from(state.macKey, 'base64url');
		const issuer = new TicketIssuer({owner: state.owner, macKey, nextSequence: state.nextSequence});
		return new TicketTable(options, issuer, state);
	}

	readonly #options: TicketTableOptions;
	readonly #issuer: TicketIssuer;
	readonly #runs: RunTable;
	readonly #voided: Set<number>;
	#voidBelow: number;
	/** Difference between the issuer's monotonic clock and the local one. */
	readonly #clockOffsetMs: number;

	private constructor(options: TicketTableOptions, issuer: TicketIssuer, state?: TicketTableState) {
		this.#options = options;
		this.#issuer = issuer;
		this.#runs = new RunTable({...options, outcomeRetentionMs: Math.max(options.outcomeRetentionMs, options.lifetimeMs + expiryRoundingMs)});
		this.#voided = new Set(state?.voided);
		this.#voidBelow = state?.voidBelow ?? 0;
		this.#clockOffsetMs = state ? state.ownerNowMs - options.clock.monotonicMs() : 0;
		if (state) {
			this.#runs.restore(state.runs);
		}
	}

	get owner(): IncarnationId {
		return this.#issuer.owner;
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

	get isSealed(): boolean {
		return this.#runs.isSealed;
	}

	issue(): IssuedTicket {
		const expiresAtMs = Math.ceil(this.#ownerNowMs() + this.#options.lifetimeMs);
		return {text: formatTicket(this.#issuer.issue(expiresAtMs)), expiresInMs: this.#options.lifetimeMs};
	}

	/** Decides how an attempt with a ticket of this table's owner is handled. */
	decide(ticketedRequest: TicketedRequest): RunDecision {
		if (!this.#issuer.hasIssued(ticketedRequest.ticket)) {
			return {type: 'end', outcome: notRun('ticket-invalid')};
		}

		const {fingerprint, previousAttempts} = ticketedRequest;
		const runRequest = {id: String(ticketedRequest.ticket.sequence), fingerprint, previousAttempts};
		if (this.#runs.has(runRequest.id)) {
			return this.#runs.decide(runRequest);
		}

		const rejection = this.#rejectionOfUnused(ticketedRequest.ticket);
		return rejection ?? this.#runs.decide(runRequest);
	}

	/** Records the outcome of a run that `decide` started. */
	recordOutcome(ticket: Ticket, outcome: Outcome): void {
		this.#runs.recordOutcome(String(ticket.sequence), outcome);
	}

	/** Stops new runs from starting. Attempts still join runs in progress and receive stored outcomes. */
	seal(): void {
		this.#runs.seal();
	}

	/** Returns the state for the successor. The table must be sealed and all its runs must have ended. */
	toState(): TicketTableState {
		return {
			owner: this.owner,
			macKey: Buffer.from(this.#issuer.macKey).toString('base64url'),
			nextSequence: this.#issuer.nextSequence,
			ownerNowMs: this.#ownerNowMs(),
			voidBelow: this.#voidBelow,
			voided: [...this.#voided],
			runs: this.#runs.toState(),
		};
	}

	#rejectionOfUnused(ticket: Ticket): RunDecision | undefined {
		if (ticket.expiresAtMs <= this.#ownerNowMs()) {
			return {type: 'end', outcome: unknown('ticket-expired')};
		}

		if (ticket.sequence < this.#voidBelow || this.#voided.has(ticket.sequence)) {
			return {type: 'end', outcome: notRun('ticket-void')};
		}

		if (this.isSealed) {
			return {type: 'sealed'};
		}

		return this.#runs.hasCapacity ? undefined : this.#voidForLackOfCapacity(ticket);
	}

	#voidForLackOfCapacity(ticket: Ticket): RunDecision {
		if (this.#voided.size >= this.#options.maximumVoided) {
			this.#voidBelow = this.#issuer.nextSequence;
			this.#voided.clear();
		}

		this.#voided.add(ticket.sequence);
		return {type: 'end', outcome: notRun('answers-held-full')};
	}

	#ownerNowMs(): number {
		return this.#options.clock.monotonicMs() + this.#clockOffsetMs;
	}
}
