/** Asks all instances at once what they have in force. */
import {type Address} from '@cairnbank/core';
import {type InstanceBrief, type OperatorsClient, type OperatorsError} from '@cairnbank/protocol/operators';
import {type Result} from 'neverthrow';

export type InstanceAnswer = {
	readonly address: Address;
	readonly answer: Result<InstanceBrief, OperatorsError>;
};

/** One round; an instance that does not answer is part of the result. */
export async function pollInstances(clients: readonly OperatorsClient[]): Promise<InstanceAnswer[]> {
	return Promise.all(clients.map(async client => ({address: client.address, answer: await client.brief()})));
}

/** Whether an instance has a change in force. */
export function hasInForce({answer}: InstanceAnswer, offset: number): boolean {
	return answer.isOk() && answer.value.configuration.acceptedOffset >= offset;
}
