/** Publishes a change that drains or undrains an upstream. */
import {drainChangeSchema, toValidationFaults, type Author} from '@cairnbank/core';
import {err} from 'neverthrow';
import {type CommandResult} from '../../kernel/command.js';
import {type Session} from '../../kernel/session.js';
import {publishAndReport} from '../publish/publish-and-report.js';

type Drain = {
	readonly upstream: string | undefined;
	readonly draining: boolean;
};

type DrainOptions = {
	readonly author?: Author;
	readonly waitMs?: number;
	readonly json?: boolean;
};

export async function publishDrain(session: Session, drain: Drain, options: DrainOptions): Promise<CommandResult> {
	const change = drainChangeSchema.safeParse({kind: 'drain', ...drain});
	return change.success
		? publishAndReport(session, {change: change.data, ...options})
		: err({type: 'wrong-use', message: `${drain.upstream} is not a valid upstream id`, faults: toValidationFaults(change.error)});
}
