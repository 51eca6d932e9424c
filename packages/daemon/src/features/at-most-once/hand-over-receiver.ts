/** Receives and adopts the tables of stopping processes. */
import type {IncarnationId} from '@cairnbank/core';
import type {HandOverAnswer, HandOverCommit, HandOverPart} from '@cairnbank/protocol/at-most-once';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {joinParts} from './hand-over-message.js';
import type {AtMostOnceTables} from './at-most-once-tables.js';

/** Together with the sender's limit on the size of a part, this limits the memory that an unfinished hand-over uses. */
const maximumParts = 150;
/** Time without a new part after which a pending hand-over may be replaced by one from another sender. */
const abandonedAfterMs = 10_000;

type PendingHandOver = {
	readonly from: IncarnationId;
	readonly parts: Map<number, HandOverPart>;
	latestPartAtMs: number;
};

const accepted: HandOverAnswer = {accepted: true};
const refused: HandOverAnswer = {accepted: false};

export class HandOverReceiver {
	readonly #context: DaemonContext;
	readonly #tables: AtMostOnceTables;
	/** Only one hand-over is received at a time; other senders choose other successors. */
	#pending: PendingHandOver | undefined;
	readonly #committed = new Set<IncarnationId>();
	#isLeaving = false;

	constructor(context: DaemonContext, tables: AtMostOnceTables) {
		this.#context = context;
		this.#tables = tables;
		context.bus.on('leaving', () => {
			this.#isLeaving = true;
		});
	}

	receivePart(part: HandOverPart): HandOverAnswer {
		const pending = this.#isAddressedToThisProcess(part) ? this.#pendingHandOverOf(part.from) : undefined;
		if (!pending || pending.parts.size >= maximumParts) {
			return refused;
		}

		pending.parts.set(part.index, part);
		pending.latestPartAtMs = this.#context.clock.monotonicMs();
		return accepted;
	}

	commit(commit: HandOverCommit): HandOverAnswer {
		if (this.#committed.has(commit.from)) {
			return accepted;
		}

		const parts = this.#pending?.from === commit.from ? [...this.#pending.parts.values()] : [];
		if (!this.#isAddressedToThisProcess(commit) || parts.length !== commit.parts || !this.#hasCapacityFor(parts)) {
			return refused;
		}

		this.#pending = undefined;
		this.#adopt(commit, parts);
		this.#committed.add(commit.from);
		this.#context.logger.info('took over at-most-once tables', {from: commit.from, ticketTables: commit.ticketTables.length});
		this.#context.bus.send({type: 'tables-taken-over', owners: this.#tables.adoptedOwners});
		return accepted;
	}

	#hasCapacityFor(parts: readonly HandOverPart[]): boolean {
		const count = (wanted: HandOverPart['kind']) => parts.reduce((sum, {kind, entries}) => sum + (kind === wanted ? entries.length : 0), 0);
		return this.#tables.hasCapacityToAdopt(count('ticket'), count('key'));
	}

	#isAddressedToThisProcess({to}: {to: IncarnationId}): boolean {
		return !this.#isLeaving && to === this.#context.incarnation;
	}

	#pendingHandOverOf(from: IncarnationId): PendingHandOver | undefined {
		const nowMs = this.#context.clock.monotonicMs();
		const mayReplace = !this.#pending || this.#pending.latestPartAtMs + abandonedAfterMs < nowMs;
		if (mayReplace && this.#pending?.from !== from) {
			this.#pending = {from, parts: new Map(), latestPartAtMs: nowMs};
		}

		return this.#pending?.from === from ? this.#pending : undefined;
	}

	#adopt(commit: HandOverCommit, parts: readonly HandOverPart[]): void {
		for (const head of commit.ticketTables) {
			this.#tables.ticketTables.adopt({...head, runs: joinParts(parts, 'ticket', head.owner)});
		}

		for (const owner of commit.keyOwners) {
			this.#tables.adoptKeys(owner, joinParts(parts, 'key', owner));
		}
	}
}
