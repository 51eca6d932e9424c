/** All ticket tables that one process holds: its own and those that stopped processes handed over to it. */
import type {IncarnationId} from '../../model/ids.js';
import type {Outcome} from '../outcome.js';
import type {RunDecision} from '../runs/run-decision.js';
import type {Ticket} from './ticket.js';
import type {TicketTableState} from './ticket-table-state.js';
import {
	TicketTable, type IssuedTicket, type TicketSend, type TicketTableOptions,
} from './ticket-table.js';

export type TicketRouting =
	| RunDecision
	/** Another process holds the table: only that one may answer. */
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId};

export class TicketOffice {
	readonly #options: TicketTableOptions;
	readonly #own: TicketTable;
	readonly #adopted = new Map<IncarnationId, TicketTable>();
	readonly #adoptedAtMs = new Map<IncarnationId, number>();

	constructor(options: TicketTableOptions, owner: IncarnationId, macKey: Uint8Array) {
		this.#options = options;
		this.#own = TicketTable.create(options, owner, macKey);
	}

	/** Owners whose tables are held here, this process first. */
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

	begin(send: TicketSend): TicketRouting {
		const {owner} = send.ticket;
		const table = this.#tableOf(owner);
		return table ? table.begin(send) : {type: 'elsewhere', owner};
	}

	/** Records the end of a run that `begin` started. */
	end(ticket: Ticket, outcome: Outcome): void {
		this.#tableOf(ticket.owner)?.end(ticket, outcome);
	}

	/** Whether so many more entries of stopped processes find room; all of theirs together have as much as the own. */
	hasRoomToAdopt(entries: number): boolean {
		this.#forgetAdopted();
		return this.#sumAdopted(table => table.entryCount) + entries <= this.#options.maximumEntries;
	}

	/** Takes over the table of a stopped process. A second hand-over of the same table changes nothing. */
	adopt(state: TicketTableState): void {
		if (this.#tableOf(state.owner)) {
			return;
		}

		const {maximumEntries, maximumAnswerBytes} = this.#options;
		const options = {
			...this.#options,
			maximumEntries: Math.max(0, maximumEntries - this.#sumAdopted(table => table.entryCount)),
			maximumAnswerBytes: Math.max(0, maximumAnswerBytes - this.#sumAdopted(table => table.heldAnswerBytes)),
		};
		this.#adopted.set(state.owner, TicketTable.adopt(options, state));
		this.#adoptedAtMs.set(state.owner, this.#options.clock.monotonicMs());
	}

	/** From here on no run starts under any ticket held here. */
	seal(): void {
		for (const table of this.#tables()) {
			table.seal();
		}
	}

	/** What the one successor takes over. The office must be sealed and its runs ended. */
	toStates(): readonly TicketTableState[] {
		return this.#tables().map(table => table.toState());
	}

	/** A table is of no use once its last ticket has expired and its last end is no longer kept. */
	#forgetAdopted(): void {
		const {clock, lifetimeMs, keepEndedMs} = this.#options;
		const oldestMs = clock.monotonicMs() - lifetimeMs - Math.max(keepEndedMs, lifetimeMs);
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

	#sumAdopted(measure: (table: TicketTable) => number): number {
		return this.#sum(measure) - measure(this.#own);
	}

	#sum(measure: (table: TicketTable) => number): number {
		return this.#tables().reduce((sum, table) => sum + measure(table), 0);
	}
}
