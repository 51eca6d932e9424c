/** Reads the configuration for `show`, from the log or, while the log is unavailable, from an instance. */
import {verifySnapshot, type ConfigurationState} from '@cairnbank/core/configuration';
import {readToEnd} from '@cairnbank/protocol/publishing';
import {err, ok, type Result} from 'neverthrow';
import {type CommandError} from '../../kernel/command-error.js';
import {firstAnswer} from '../../kernel/first-answer.js';
import {toReadError} from '../../kernel/read-error.js';
import {type Session} from '../../kernel/session.js';

export type SourcedConfiguration = {
	readonly source: string;
	readonly state: ConfigurationState;
};

type Sourced = Result<SourcedConfiguration, CommandError>;

/** Returns the newest configuration available. If both sources fail, returns the error of the log. */
export async function readConfiguration(session: Session, fromInstance = false): Promise<Sourced> {
	if (fromInstance) {
		return readFromInstance(session);
	}

	const fromLog = await readFromLog(session);
	if (fromLog.isOk() || fromLog.error.type !== 'unavailable') {
		return fromLog;
	}

	const answered = await readFromInstance(session);
	return answered.isOk() ? answered : fromLog;
}

async function readFromLog(session: Session): Promise<Sourced> {
	const log = await session.log();
	if (log.isErr()) {
		return err(log.error);
	}

	const read = await readToEnd(log.value, undefined, session.environment.interruptSignal);
	if (read.isErr()) {
		return err(toReadError(read.error));
	}

	const {state, standing} = read.value.progress;
	return standing.type === 'missing-records'
		? err({type: 'unavailable', message: `the log retains records from offset ${standing.earliestOffset} on, without a snapshot of the earlier ones`})
		: ok({source: 'the log', state});
}

async function readFromInstance(session: Session): Promise<Sourced> {
	const clients = await session.instances();
	if (clients.isErr()) {
		return err(clients.error);
	}

	const answer = await firstAnswer(clients.value, client => client.configuration());
	return answer.andThen(({client, value}) => {
		const opened = verifySnapshot(value);
		return opened
			.map(state => ({source: `instance ${client.address}`, state}))
			.mapErr(() => ({type: 'unavailable' as const, message: `the configuration from ${client.address} has an unexpected format`}));
	});
}
