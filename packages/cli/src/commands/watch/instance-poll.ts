/** Queries all instances concurrently for their configuration in force. */
import {type Address} from '@cairnbank/core';
import {type InstanceBrief, type OperatorsClient, type OperatorsError} from '@cairnbank/protocol/operators';
import {type Result} from 'neverthrow';

export type InstanceAnswer = {
	readonly address: Address;
	readonly answer: Result<InstanceBrief, OperatorsError>;
};

/** Polls each instance once. The result includes instances that do not answer, with their error. */
export async function pollInstances(clients: readonly OperatorsClient[]): Promise<InstanceAnswer[]> {
	return Promise.all(clients.map(async client => ({address: client.address, answer: await client.brief()})));
}

/** Whether an instance answered and has the change at this offset in force. */
export function hasInForce({answer}: InstanceAnswer, offset: number): boolean {
	return answer.isOk() && answer.value.configuration.acceptedOffset >= offset;
}
