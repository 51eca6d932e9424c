/** Asks one instance for a graceful stop. */
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
		session.environment.output.line(`${address} leaves: callers are sent elsewhere, requests in flight end, then it exits`);
		return ok();
	});
}
