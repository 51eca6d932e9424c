/** Sends a request to one instance after another until one answers. */
import {type OperatorsClient, type OperatorsError} from '@cairnbank/protocol/operators';
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {type CommandError} from './command-error.js';
import {toInstancesError, type InstanceFailure} from './instance-failure.js';

export type FirstAnswer<T> = {
	readonly client: OperatorsClient;
	readonly value: T;
};

export async function firstAnswer<T>(
	clients: readonly OperatorsClient[],
	ask: (client: OperatorsClient) => ResultAsync<T, OperatorsError>,
): Promise<Result<FirstAnswer<T>, CommandError>> {
	const failures: InstanceFailure[] = [];
	for (const client of clients) {
		const answer = await ask(client);
		if (answer.isOk()) {
			return ok({client, value: answer.value});
		}

		failures.push({address: client.address, error: answer.error});
	}

	return err(toInstancesError(failures));
}
