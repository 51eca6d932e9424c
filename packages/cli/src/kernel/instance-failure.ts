/** Converts failed requests to instances to the error of a command. */
import {type Address} from '@cairnbank/core';
import {type OperatorsError} from '@cairnbank/protocol/operators';
import {describeOperatorsError} from '../rendering/describe-operators-error.js';
import {type CommandError} from './command-error.js';

export type InstanceFailure = {
	readonly address: Address;
	readonly error: OperatorsError;
};

/** A rejected operator secret is a usage error. All other failures may be temporary. */
export function toInstancesError(failures: readonly InstanceFailure[]): CommandError {
	const lines = failures.map(({address, error}) => `${address} ${describeOperatorsError(error)}`);
	const message = `no instance answered: ${lines.join('; ')}`;
	return failures.some(({error}) => error.type === 'unauthorized')
		? {type: 'wrong-use', message, advice: 'set "operatorSecret" in the settings to one that the instances accept'}
		: {type: 'unavailable', message, advice: 'check that "instances" in the settings holds admin addresses, not the addresses for callers'};
}
