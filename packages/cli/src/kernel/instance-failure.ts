/** Instances that gave no answer, as a command's error. */
import {type Address} from '@cairnbank/core';
import {type OperatorsError} from '@cairnbank/protocol/operators';
import {describeOperatorsError} from '../rendering/describe-operators-error.js';
import {type CommandError} from './command-error.js';

export type InstanceFailure = {
	readonly address: Address;
	readonly error: OperatorsError;
};

/** A secret that no instance accepts is wrong use; anything else may pass. */
export function toInstancesError(failures: readonly InstanceFailure[]): CommandError {
	const lines = failures.map(({address, error}) => `${address} ${describeOperatorsError(error)}`);
	const message = `no instance answered: ${lines.join('; ')}`;
	return failures.some(({error}) => error.type === 'unauthorized')
		? {type: 'wrong-use', message, advice: 'set "operatorSecret" in the settings to one that the instances accept'}
		: {type: 'unavailable', message, advice: 'check "instances" in the settings: admin addresses, not those for callers'};
}
