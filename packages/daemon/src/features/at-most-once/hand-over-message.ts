/** Converts the tables of a sealed process to hand-over messages and back. */
import type {IncarnationId} from '@cairnbank/core';
import type {HandedOverEntry, RunTableState} from '@cairnbank/core/outcomes';
import {
	fromOutcomeMessage, toOutcomeMessage, type HandedOverEntryMessage, type HandOverCommit, type HandOverPart,
} from '@cairnbank/protocol/at-most-once';
import type {AtMostOnceTables} from './at-most-once-tables.js';

const maximumPartBytes = 400_000;
const entryOverheadBytes = 200;

export type HandOver = {
	readonly parts: ReadonlyArray<Omit<HandOverPart, 'to'>>;
	readonly commit: Omit<HandOverCommit, 'to'>;
};

/** Converts the tables to a hand-over. The tables must be sealed and all their runs must have ended. */
export function toHandOver(tables: AtMostOnceTables): HandOver {
	const ticketStates = tables.ticketTables.toStates();
	const keyStates: Array<[IncarnationId, RunTableState]> = [
		[tables.owner, tables.keyTable.toState()],
		...[...tables.adoptedKeyRuns].map(([owner, runs]): [IncarnationId, RunTableState] => [owner, runs.toState()]),
	];
	const contents = [
		...ticketStates.flatMap(state => splitIntoParts(state.runs).map(entries => ({owner: state.owner, kind: 'ticket' as const, entries}))),
		...keyStates.flatMap(([owner, state]) => splitIntoParts(state).map(entries => ({owner, kind: 'key' as const, entries}))),
	];
	const from = tables.owner;
	return {
		parts: contents.map((content, index) => ({from, index, ...content})),
		commit: {
			from,
			parts: contents.length,
			ticketTables: ticketStates.map(({runs: _, ...head}) => ({...head, voided: [...head.voided]})),
			keyOwners: keyStates.map(([owner]) => owner),
		},
	};
}

/** Collects the entries of one table from all parts. */
export function joinParts(parts: readonly HandOverPart[], kind: HandOverPart['kind'], owner: IncarnationId): RunTableState {
	const entries = parts
		.filter(part => part.kind === kind && part.owner === owner)
		.flatMap(part => part.entries.map(entry => fromMessage(entry)));
	return {entries};
}

function splitIntoParts({entries}: RunTableState): HandedOverEntryMessage[][] {
	const parts: HandedOverEntryMessage[][] = [];
	let bytes = Number.POSITIVE_INFINITY;
	for (const entry of entries) {
		const message = toMessage(entry);
		const size = entryOverheadBytes + (message.outcome.type === 'answered' ? message.outcome.body.length : 0);
		if (bytes + size > maximumPartBytes) {
			parts.push([]);
			bytes = 0;
		}

		parts.at(-1)!.push(message);
		bytes += size;
	}

	return parts;
}

function toMessage(entry: HandedOverEntry): HandedOverEntryMessage {
	return {...entry, outcome: toOutcomeMessage(entry.outcome)};
}

function fromMessage(entry: HandedOverEntryMessage): HandedOverEntry {
	return {...entry, outcome: fromOutcomeMessage(entry.outcome)};
}
