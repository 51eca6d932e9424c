/** Requests a graceful stop of one instance. */
import {type Address} from '@cairnbank/core';
import {err, ok} from 'neverthrow';
import {type CommandResult} from '../../kernel/command.js';
import {firstAnswer} from '../../kernel/first-answer.js';
import {type Session} from '../../kernel/session.js';

export async function drainInstance(session: Session, address: Address): Promise<CommandResult> {
	const client = await session.instance(address);
	if (client.isErr()) {
		return err(client.error);
	}

	const answer = await firstAnswer([client.value], asked => asked.drainInstance());
	return answer.andThen(() => {
		session.environment.output.line(`${address} is leaving: callers are directed to other instances, requests in flight complete, then it exits`);
		return ok();
	});
}
