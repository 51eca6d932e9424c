/**
 * The owner's table of the tickets it issued.
 *
 * An unused ticket costs nothing: its MAC proves that it was issued, and an entry is kept longer than any ticket
 * lives, so that a valid ticket without an entry never ran. A ticket that was told not run for want of room is
 * remembered by its number alone; when these numbers fill their bound, every unused ticket issued so far is void.
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
import {TicketMint} from './ticket-mint.js';
import type {TicketTableState} from './ticket-table-state.js';

/** Expiries are rounded up to whole milliseconds. */
const expiryRoundingMs = 1;

export type TicketTableOptions = {
	readonly clock: Clock;
	/** Life of a ticket from its issue. */
	readonly lifetimeMs: number;
	/** How long an end is kept for resends; never less than `lifetimeMs`. */
	readonly keepEndedMs: number;
	readonly maximumEntries: number;
	readonly maximumRunning?: number;
	readonly maximumAnswerBytes: number;
	/** Bound on single tickets remembered as void. */
	readonly maximumVoided: number;
};

export type TicketSend = {
	readonly ticket: Ticket;
	readonly fingerprint: Fingerprint;
	/** Sends of this request before this one, if the caller counts them. */
	readonly previousAttempts?: number;
};

export type IssuedTicket = {
	readonly text: string;
	readonly expiresInMs: number;
};

export class TicketTable {
	/** The table of a process that just started. */
	static create(options: TicketTableOptions, owner: IncarnationId, macKey: Uint8Array): TicketTable {
		return new TicketTable(options, new TicketMint({owner, macKey}));
	}

	/** The table of a stopped process, in the hands of its one successor. */
	static adopt(options: TicketTableOptions, state: TicketTableState): TicketTable {
		const macKey = Buffer.from(state.macKey, 'base64url');
		const mint = new TicketMint({owner: state.owner, macKey, nextSequence: state.nextSequence});
		return new TicketTable(options, mint, state);
	}

	readonly #options: TicketTableOptions;
	readonly #mint: TicketMint;
	readonly #runs: RunTable;
	readonly #voided: Set<number>;
	#voidBelow: number;
	/** Added to the local monotonic clock to get the issuer's. */
	readonly #clockOffsetMs: number;

	private constructor(options: TicketTableOptions, mint: TicketMint, state?: TicketTableState) {
		this.#options = options;
		this.#mint = mint;
		this.#runs = new RunTable({...options, keepEndedMs: Math.max(options.keepEndedMs, options.lifetimeMs + expiryRoundingMs)});
		this.#voided = new Set(state?.voided);
		this.#voidBelow = state?.voidBelow ?? 0;
		this.#clockOffsetMs = state ? state.ownerNowMs - options.clock.monotonicMs() : 0;
		if (state) {
			this.#runs.restore(state.runs);
		}
	}

	get owner(): IncarnationId {
		return this.#mint.owner;
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
		return {text: formatTicket(this.#mint.issue(expiresAtMs)), expiresInMs: this.#options.lifetimeMs};
	}

	/** Decides one send under a ticket of this table's owner. */
	begin(send: TicketSend): RunDecision {
		if (!this.#mint.issued(send.ticket)) {
			return {type: 'end', outcome: notRun('ticket-invalid')};
		}

		const {fingerprint, previousAttempts} = send;
		const request = {id: String(send.ticket.sequence), fingerprint, previousAttempts};
		if (this.#runs.has(request.id)) {
			return this.#runs.begin(request);
		}

		const refusal = this.#refusalOfUnused(send.ticket);
		return refusal ?? this.#runs.begin(request);
	}

	/** Records the end of a run that `begin` started. */
	end(ticket: Ticket, outcome: Outcome): void {
		this.#runs.end(String(ticket.sequence), outcome);
	}

	/** From here on no run starts; joins and kept ends go on. */
	seal(): void {
		this.#runs.seal();
	}

	/** What the successor takes over. The table must be sealed and its runs ended. */
	toState(): TicketTableState {
		return {
			owner: this.owner,
			macKey: Buffer.from(this.#mint.macKey).toString('base64url'),
			nextSequence: this.#mint.nextSequence,
			ownerNowMs: this.#ownerNowMs(),
			voidBelow: this.#voidBelow,
			voided: [...this.#voided],
			runs: this.#runs.toState(),
		};
	}

	#refusalOfUnused(ticket: Ticket): RunDecision | undefined {
		if (ticket.expiresAtMs <= this.#ownerNowMs()) {
			return {type: 'end', outcome: unknown('ticket-expired')};
		}

		if (ticket.sequence < this.#voidBelow || this.#voided.has(ticket.sequence)) {
			return {type: 'end', outcome: notRun('ticket-void')};
		}

		if (this.isSealed) {
			return {type: 'sealed'};
		}

		return this.#runs.hasRoom ? undefined : this.#refuseForWantOfRoom(ticket);
	}

	#refuseForWantOfRoom(ticket: Ticket): RunDecision {
		if (this.#voided.size >= this.#options.maximumVoided) {
			this.#voidBelow = this.#mint.nextSequence;
			this.#voided.clear();
		}

		this.#voided.add(ticket.sequence);
		return {type: 'end', outcome: notRun('answers-held-full')};
	}

	#ownerNowMs(): number {
		return this.#options.clock.monotonicMs() + this.#clockOffsetMs;
	}
}
