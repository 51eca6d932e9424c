/** One line of `watch` about one instance. */
import {describeOperatorsError} from '../../rendering/describe-operators-error.js';
import {type InstanceAnswer} from './instance-poll.js';

const hashDigitsShown = 12;

/** For people. */
export function toWatchText({address, answer}: InstanceAnswer): string {
	return answer.match(
		({id, availabilityZone, state, configuration}) =>
			`${id} (${availabilityZone}, ${address}) ${state}, offset ${configuration.acceptedOffset} in force, hash ${configuration.hash.slice(0, hashDigitsShown)}`,
		error => `${address} ${describeOperatorsError(error)}`,
	);
}

/** For scripts. */
export function toWatchJson({address, answer}: InstanceAnswer, time: Date): string {
	const fields = answer.match<Record<string, unknown>>(
		({id, availabilityZone, state, configuration}) => ({
			instance: id, availabilityZone, state, acceptedOffset: configuration.acceptedOffset, hash: configuration.hash,
		}),
		error => ({error}),
	);
	return JSON.stringify({time: time.toISOString(), address, ...fields});
}

/** For scripts, about an instance that the platform lists no longer. */
export function toUnlistedJson(address: string, time: Date): string {
	return JSON.stringify({time: time.toISOString(), address, listed: false});
}
