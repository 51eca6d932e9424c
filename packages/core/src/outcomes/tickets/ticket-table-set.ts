/** Holds all ticket tables of one process: its own and those that stopped processes handed over to it. */
import type {IncarnationId} from '../../model/ids.js';
import type {Outcome} from '../outcome.js';
import type {RunDecision} from '../runs/run-decision.js';
import type {Ticket} from './ticket.js';
import type {TicketTableState} from './ticket-table-state.js';
import {
	TicketTable, type IssuedTicket, type TicketedRequest, type TicketTableOptions,
} from './ticket-table.js';

export type TicketDecision =
	| RunDecision
	/** Another process holds the table: only that process may decide. */
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId};

export class TicketTableSet {
	readonly #options: TicketTableOptions;
	readonly #own: TicketTable;
	readonly #adopted = new Map<IncarnationId, TicketTable>();
	readonly #adoptedAtMs = new Map<IncarnationId, number>();

	constructor(options: TicketTableOptions, owner: IncarnationId, macKey: Uint8Array) {
		this.#options = options;
		this.#own = TicketTable.create(options, owner, macKey);
	}

	/** Owners of the tables in this set, this process first. */
	get owners(): readonly IncarnationId[] {
		return [this.#own.owner, ...this.#adopted.keys()];
	}

	get runningCount(): number {
		return this.#sum(table => table.runningCount);
	}

	get entryCount(): number {
		return this.#sum(table => table.entryCount);
	}

	get heldAnswerBytes(): number {
		return this.#sum(table => table.heldAnswerBytes);
	}

	issue(): IssuedTicket {
		return this.#own.issue();
	}

	decide(request: TicketedRequest): TicketDecision {
		const {owner} = request.ticket;
		const table = this.#tableOf(owner);
		return table ? table.decide(request) : {type: 'elsewhere', owner};
	}

	/** Records the outcome of a run that `decide` started. */
	recordOutcome(ticket: Ticket, outcome: Outcome): void {
		this.#tableOf(ticket.owner)?.recordOutcome(ticket, outcome);
	}

	/** Whether this many more entries of stopped processes can be adopted. All adopted tables together have the same limit as the own table. */
	hasCapacityToAdopt(entries: number): boolean {
		this.#removeExpiredTables();
		return this.#sumOfAdopted(table => table.entryCount) + entries <= this.#options.maximumEntries;
	}

	/** Adopts the table of a stopped process. A repeated hand-over of the same table has no effect. */
	adopt(state: TicketTableState): void {
		if (this.#tableOf(state.owner)) {
			return;
		}

		const {maximumEntries, maximumAnswerBytes} = this.#options;
		const options = {
			...this.#options,
			maximumEntries: Math.max(0, maximumEntries - this.#sumOfAdopted(table => table.entryCount)),
			maximumAnswerBytes: Math.max(0, maximumAnswerBytes - this.#sumOfAdopted(table => table.heldAnswerBytes)),
		};
		this.#adopted.set(state.owner, TicketTable.adopt(options, state));
		this.#adoptedAtMs.set(state.owner, this.#options.clock.monotonicMs());
	}

	/** Stops new runs from starting in all tables of this set. */
	seal(): void {
		for (const table of this.#tables()) {
			table.seal();
		}
	}

	/** Returns the states of all tables for the only successor. The set must be sealed and all its runs must have ended. */
	toStates(): readonly TicketTableState[] {
		return this.#tables().map(table => table.toState());
	}

	/** Removes adopted tables whose tickets have all expired and whose outcomes are all past their retention time. */
	#removeExpiredTables(): void {
		const {clock, lifetimeMs, outcomeRetentionMs} = this.#options;
		const oldestMs = clock.monotonicMs() - lifetimeMs - Math.max(outcomeRetentionMs, lifetimeMs);
		for (const [owner, adoptedAtMs] of this.#adoptedAtMs) {
			if (adoptedAtMs < oldestMs && this.#adopted.get(owner)?.runningCount === 0) {
				this.#adopted.delete(owner);
				this.#adoptedAtMs.delete(owner);
			}
		}
	}

	#tables(): readonly TicketTable[] {
		return [this.#own, ...this.#adopted.values()];
	}

	#tableOf(owner: IncarnationId): TicketTable | undefined {
		return owner === this.#own.owner ? this.#own : this.#adopted.get(owner);
	}

	#sumOfAdopted(measure: (table: TicketTable) => number): number {
		return this.#sum(measure) - measure(this.#own);
	}

	#sum(measure: (table: TicketTable) => number): number {
		return this.#tables().reduce((sum, table) => sum + measure(table), 0);
	}
}
