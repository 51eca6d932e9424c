/** Publishes one change and tells what became of it. */
import {type Author, type Change, type RecordId} from '@cairnbank/core';
import {type LogClient} from '@cairnbank/protocol/log';
import {publishChange, type PublishVerdict} from '@cairnbank/protocol/publishing';
import {err, ok} from 'neverthrow';
import {type CommandResult} from '../../kernel/command.js';
import {type Environment} from '../../kernel/environment.js';
import {type Session} from '../../kernel/session.js';
import {describeChange} from '../../rendering/describe-change.js';
import {describeLogError} from '../../rendering/describe-log-error.js';
import {watchUntil} from '../watch/watch-until.js';
import {findUnknownServices} from './unknown-services.js';

export type PublishRequest = {
	readonly change: Change;
	readonly author?: Author;
	readonly id?: RecordId;
	readonly baseOffset?: number;
	readonly json?: boolean;
	/** Wait until the change is in force on every instance, at most this long. */
	readonly waitMs?: number;
};

/** Publishes, reports, and waits for the change to be in force where asked to. */
export async function publishAndReport(session: Session, request: PublishRequest): Promise<CommandResult> {
	const author = await session.author(request.author);
	const log = await session.log();
	if (author.isErr() || log.isErr()) {
		return author.isErr() ? err(author.error) : log.map(() => undefined);
	}

	const id = request.id ?? session.environment.createRecordId();
	const {change, baseOffset} = request;
	const verdict = await publishChange(log.value, {
		change, author: author.value, id, baseOffset, signal: session.environment.interrupted,
	});
	const reported = report(session, request, id, verdict);
	if (reported.isOk()) {
		await warnOfUnknownServices(session.environment, log.value, change);
	}

	return reported.isOk() && request.waitMs !== undefined && 'offset' in verdict
		? watchUntil(session, {offset: verdict.offset, timeoutMs: request.waitMs, json: request.json})
		: reported;
}

async function warnOfUnknownServices({output, interrupted}: Environment, log: LogClient, change: Change): Promise<void> {
	const unknown = await findUnknownServices(log, change, interrupted);
	if (unknown.length > 0) {
		output.error(`cairnbank: warning: the rules name services that the inventory does not have: ${unknown.join(', ')}`);
	}
}

function report(session: Session, {change, json}: PublishRequest, id: RecordId, verdict: PublishVerdict): CommandResult {
	const {output} = session.environment;
	if (json) {
		output.line(JSON.stringify({id, ...verdict}));
	}

	switch (verdict.type) {
		case 'accepted': {
			if (!json) {
				output.line(`accepted at offset ${verdict.offset}: ${describeChange(change)}`);
			}

			return ok();
		}

		case 'unchanged': {
			if (!json) {
				output.line(`unchanged: this is in force already; last accepted offset is ${verdict.offset}`);
			}

			return ok();
		}

		case 'conflict': {
			const {offset, author, id: otherId} = verdict.with;
			return err({
				type: 'conflict',
				message: `conflict: ${author} changed ${verdict.key} at offset ${offset} (${otherId}); this change has no effect`,
				advice: 'look at the other change with `cairnbank show` and `cairnbank history`, then publish again if yours still applies',
			});
		}

		case 'invalid': {
			return err({
				type: 'wrong-use', message: 'the change is refused and has no effect', faults: verdict.faults, advice: 'correct it and publish again',
			});
		}

		case 'not-published': {
			return err({
				type: 'unavailable',
				message: `not published, the change has no effect: ${describeLogError(verdict.error)}`,
				advice: 'publish again when the log is back; instances keep what is in force',
			});
		}

		case 'missing-records': {
			return err({
				type: 'unavailable',
				message: `not published: the log keeps records from ${verdict.earliestOffset} on, and those from ${verdict.fromOffset} on are needed to judge a change`,
				advice: 'wait until an instance has written a snapshot, then publish again; `cairnbank status` shows whether instances run',
			});
		}

		case 'unknown': {
			return err({
				type: 'unavailable',
				message: `unknown: the change may be in force or not: ${describeLogError(verdict.error)}`,
				advice: `publish the same file again with --id ${id}; that is harmless and tells what became of it`,
			});
		}
	}
}
