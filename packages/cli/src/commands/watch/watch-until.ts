/** Polls the instances until a change is in force on all of them, or until a timeout or an interruption. */
import {type OperatorsClient} from '@cairnbank/protocol/operators';
import {err, ok} from 'neverthrow';
import {type CommandResult} from '../../kernel/command.js';
import {type Environment} from '../../kernel/environment.js';
import {type Session} from '../../kernel/session.js';
import {hasInForce, pollInstances, type InstanceAnswer} from './instance-poll.js';
import {toUnlistedJson, toWatchJson, toWatchText} from './watch-line.js';

export const defaultIntervalMs = 250;

export type WatchOptions = {
	/** Ends once every instance has this offset in force. If absent, polling continues until interrupted. */
	readonly offset?: number;
	/** Ends after this time at the latest. */
	readonly timeoutMs?: number;
	readonly intervalMs?: number;
	readonly json?: boolean;
};

/** Prints a line for each instance, and another whenever its state changes. */
export async function watchUntil(session: Session, options: WatchOptions): Promise<CommandResult> {
	const clients = await session.instances();
	return clients.isErr() ? err(clients.error) : pollUntil(session, clients.value, options);
}

async function pollUntil(session: Session, firstClients: readonly OperatorsClient[], options: WatchOptions): Promise<CommandResult> {
	const {offset, timeoutMs = Number.POSITIVE_INFINITY, intervalMs = defaultIntervalMs} = options;
	const {environment} = session;
	const startedMs = environment.clock.monotonicMs();
	const printed = new Map<string, string>();
	let clients = firstClients;
	for (;;) {
		const answers = await pollInstances(clients);
		printChanges(environment, answers, printed, options.json);
		if (offset !== undefined && answers.every(answer => hasInForce(answer, offset))) {
			return reportInForce(environment, offset, answers.length, options.json);
		}

		if (environment.interruptSignal.aborted || environment.clock.monotonicMs() - startedMs >= timeoutMs) {
			return offset === undefined ? ok() : err(notInForce(answers, offset));
		}

		await environment.pause(intervalMs);
		// Instances are replaced over time. If the list cannot be read, the last known instances are polled again.
		const found = await session.instances();
		clients = found.unwrapOr([...clients]);
	}
}

function printChanges(environment: Environment, answers: readonly InstanceAnswer[], printed: Map<string, string>, json = false): void {
	const time = environment.clock.now();
	for (const answer of answers) {
		const text = toWatchText(answer);
		if (printed.get(answer.address) === text) {
			continue;
		}

		printed.set(answer.address, text);
		environment.output.line(json ? toWatchJson(answer, time) : `${time.toISOString()} ${text}`);
	}

	for (const address of printed.keys()) {
		if (!answers.some(answer => answer.address === address)) {
			printed.delete(address);
			environment.output.line(json ? toUnlistedJson(address, time) : `${time.toISOString()} ${address} is no longer listed`);
		}
	}
}

function reportInForce({output}: Environment, offset: number, instances: number, json = false): CommandResult {
	if (!json) {
		output.line(`offset ${offset} is in force on all ${instances} instance(s)`);
	}

	return ok();
}

function notInForce(answers: readonly InstanceAnswer[], offset: number) {
	const missing = answers.filter(answer => !hasInForce(answer, offset)).map(answer => answer.address);
	return {
		type: 'unavailable' as const,
		message: `offset ${offset} is not in force yet on ${missing.join(', ')}`,
		advice: 'an accepted change takes effect on an instance once it reaches the log or another instance; run `cairnbank watch` to follow it',
	};
}
