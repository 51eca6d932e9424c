/** Formats the lines that `watch` prints, one for each instance. */
import {describeOperatorsError} from '../../rendering/describe-operators-error.js';
import {type InstanceAnswer} from './instance-poll.js';

const hashDigitsShown = 12;

/** Formats an answer as text. */
export function toWatchText({address, answer}: InstanceAnswer): string {
	return answer.match(
		({id, availabilityZone, state, configuration}) =>
			`${id} (${availabilityZone}, ${address}) ${state}, offset ${configuration.acceptedOffset} in force, hash ${configuration.hash.slice(0, hashDigitsShown)}`,
		error => `${address} ${describeOperatorsError(error)}`,
	);
}

/** Formats an answer as JSON. */
export function toWatchJson({address, answer}: InstanceAnswer, time: Date): string {
	const fields = answer.match<Record<string, unknown>>(
		({id, availabilityZone, state, configuration}) => ({
			instance: id, availabilityZone, state, acceptedOffset: configuration.acceptedOffset, hash: configuration.hash,
		}),
		error => ({error}),
	);
	return JSON.stringify({time: time.toISOString(), address, ...fields});
}

/** Formats the JSON line about an instance that the platform no longer lists. */
export function toUnlistedJson(address: string, time: Date): string {
	return JSON.stringify({time: time.toISOString(), address, listed: false});
}
