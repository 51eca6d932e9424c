/** Publishes a change, prints the result and, if requested, waits until the change is in force. */
import {type Author, type Change, type RecordId} from '@cairnbank/core';
import {type LogClient} from '@cairnbank/protocol/log';
import {publishChange} from '@cairnbank/protocol/publishing';
import {err, ok} from 'neverthrow';
import {type CommandResult} from '../../kernel/command.js';
import {type Environment} from '../../kernel/environment.js';
import {type Session} from '../../kernel/session.js';
import {watchUntil} from '../watch/watch-until.js';
import {reportVerdict} from './publish-report.js';
import {findUnknownServices} from './unknown-services.js';

export type PublishRequest = {
	readonly change: Change;
	readonly author?: Author;
	readonly id?: RecordId;
	readonly baseOffset?: number;
	readonly json?: boolean;
	/** Waits until the change is in force on every instance, for at most this time. */
	readonly waitMs?: number;
};

export async function publishAndReport(session: Session, request: PublishRequest): Promise<CommandResult> {
	const ready = await session.author(request.author).andThen(author => session.log().map(log => ({author, log})));
	if (ready.isErr()) {
		return err(ready.error);
	}

	const {environment} = session;
	const {author, log} = ready.value;
	const {change, baseOffset, json, waitMs} = request;
	const id = request.id ?? environment.createRecordId();
	const verdict = await publishChange(log, {
		change, author, id, baseOffset, signal: environment.interruptSignal,
	});
	if (json) {
		environment.output.line(JSON.stringify({id, ...verdict}));
	}

	const report = reportVerdict(verdict, change, id);
	if (report.isErr()) {
		return err(report.error);
	}

	const {offset, text} = report.value;
	if (!json) {
		environment.output.line(text);
	}

	await warnOfUnknownServices(environment, log, change);
	return waitMs === undefined ? ok() : watchUntil(session, {offset, timeoutMs: waitMs, json});
}

async function warnOfUnknownServices({output, interruptSignal}: Environment, log: LogClient, change: Change): Promise<void> {
	const unknown = await findUnknownServices(log, change, interruptSignal);
	if (unknown.length > 0) {
		output.error(`cairnbank: warning: the rules name services that the inventory does not contain: ${unknown.join(', ')}`);
	}
}
