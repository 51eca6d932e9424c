/** Holds the ticket and idempotency-key tables of one process, and those that it adopted from stopped processes. */
import {randomBytes} from 'node:crypto';
import type {IncarnationId} from '@cairnbank/core';
import {
	ClaimBatcher, ClaimIndex, createKeyRunTable, IdempotencyKeyTable, TicketTableSet, type IdempotencyKeyTableOptions, type RunTable, type RunTableState,
} from '@cairnbank/core/outcomes';
import type {DaemonContext} from '../../kernel/daemon-context.js';

const macKeyBytes = 32;
const maximumClaimsPerAppend = 500;
const tablesSharingAnswers = 2;

export class AtMostOnceTables {
	readonly owner: IncarnationId;
	readonly ticketTables: TicketTableSet;
	readonly claimIndex: ClaimIndex;
	readonly claimBatcher = new ClaimBatcher(maximumClaimsPerAppend);
	readonly keyTable: IdempotencyKeyTable;
	/** Run tables of adopted keys, by the stopped process that claimed the keys. */
	readonly adoptedKeyRuns = new Map<IncarnationId, RunTable>();
	readonly #keyOptions: IdempotencyKeyTableOptions;

	constructor({settings, clock, incarnation}: DaemonContext) {
		const {atMostOnce} = settings;
		const shared = {
			clock,
			outcomeRetentionMs: atMostOnce.keptAnswerMs,
			// Calls forwarded by other instances are limited here because the limit of the caller port does not include them.
			maximumRunning: settings.calls.maximumInFlight,
			maximumAnswerBytes: Math.floor(atMostOnce.keptAnswersTotalBytes / tablesSharingAnswers),
		};
		const window = {lengthMs: atMostOnce.claimWindowMs, clockSkewMs: atMostOnce.clockSkewMs};
		this.owner = incarnation;
		this.ticketTables = new TicketTableSet({
			...shared,
			lifetimeMs: atMostOnce.ticketTtlMs,
			maximumEntries: atMostOnce.maximumTickets,
			maximumVoided: atMostOnce.maximumTickets,
		}, incarnation, randomBytes(macKeyBytes));
		this.claimIndex = new ClaimIndex({window, maximumKeys: atMostOnce.maximumKeys});
		this.#keyOptions = {...shared, window, maximumEntries: atMostOnce.maximumKeys};
		this.keyTable = new IdempotencyKeyTable(this.#keyOptions, {owner: incarnation, claimIndex: this.claimIndex, batcher: this.claimBatcher});
	}

	/** Stopped processes whose ticket tables this process has adopted. */
	get adoptedOwners(): readonly IncarnationId[] {
		return this.ticketTables.owners.filter(owner => owner !== this.owner);
	}

	/** Returns whether this many more entries of stopped processes can be adopted. Drops adopted key tables that are no longer needed. */
	hasCapacityToAdopt(tickets: number, keys: number): boolean {
		for (const [owner, runs] of this.adoptedKeyRuns) {
			runs.removeExpired();
			if (runs.entryCount === 0 && !this.ticketTables.owners.includes(owner)) {
				this.adoptedKeyRuns.delete(owner);
			}
		}

		return this.ticketTables.hasCapacityToAdopt(tickets) && this.#sumAdoptedKeys(runs => runs.entryCount) + keys <= this.#keyOptions.maximumEntries;
	}

	/** Adopts the key runs of a stopped process. */
	adoptKeys(owner: IncarnationId, state: RunTableState): void {
		const {maximumAnswerBytes} = this.#keyOptions;
		const remainingBytes = Math.max(0, maximumAnswerBytes - this.#sumAdoptedKeys(runs => runs.heldAnswerBytes));
		const runs = createKeyRunTable({...this.#keyOptions, maximumAnswerBytes: remainingBytes});
		runs.restore(state);
		this.adoptedKeyRuns.set(owner, runs);
	}

	/** Stops new runs from starting in all tables. */
	seal(): void {
		this.ticketTables.seal();
		this.keyTable.seal();
		for (const runs of this.adoptedKeyRuns.values()) {
			runs.seal();
		}
	}

	#sumAdoptedKeys(measure: (runs: RunTable) => number): number {
		return [...this.adoptedKeyRuns.values()].reduce((sum, runs) => sum + measure(runs), 0);
	}
}
