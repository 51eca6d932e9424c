/** `cairnbank history`: lists the changes that the log still retains. */
import {readToEnd} from '@cairnbank/protocol/publishing';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {defineCommand} from '../../kernel/command.js';
import {toReadError} from '../../kernel/read-error.js';
import {describeChange} from '../../rendering/describe-change.js';
import {renderTable} from '../../rendering/table.js';
import {describeVerdict, toHistoryEntry, type HistoryEntry} from './history-entry.js';

const defaultLimit = 50;

export const historyCommand = defineCommand({
	usage: 'history',
	summary: 'List the changes that the log still retains, with the time, author and result of each',
	options: [
		{flags: '--limit <count>', description: `Number of newest changes to list (default: ${defaultLimit})`},
		{flags: '--json', description: 'Print one JSON array that contains the full changes'},
	],
	examples: ['cairnbank history --limit 10'],
	optionsSchema: z.strictObject({
		limit: z.int().min(1).default(defaultLimit),
		json: z.boolean().optional(),
	}),
	async run(session, _positional, {limit, json}) {
		const log = await session.log();
		if (log.isErr()) {
			return err(log.error);
		}

		const read = await readToEnd(log.value, undefined, session.environment.interruptSignal);
		if (read.isErr()) {
			return err(toReadError(read.error));
		}

		const entries = read.value.applied.map(item => toHistoryEntry(item)).filter(entry => entry !== undefined).slice(-limit);
		session.environment.output.line(json ? JSON.stringify(entries) : toText(entries));
		return ok();
	},
});

function toText(entries: readonly HistoryEntry[]): string {
	return entries.length === 0
		? 'the log contains no changes'
		: renderTable(['OFFSET', 'TIME', 'AUTHOR', 'CHANGE', 'RESULT'], entries.map(entry => toRow(entry)));
}

function toRow(entry: HistoryEntry): Array<string | number> {
	const change = entry.change === undefined ? 'not a cairnbank record' : describeChange(entry.change);
	return [entry.offset, entry.appendedAt ?? '', entry.author ?? '', change, describeVerdict(entry.verdict)];
}
