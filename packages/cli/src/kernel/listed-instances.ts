/** Finds the entry instances in the platform's instance list. */
import {addressSchema, type Address} from '@cairnbank/core';
import {instanceListSchema} from '@cairnbank/core/membership';
import {
	err, ok, okAsync, ResultAsync,
} from 'neverthrow';
import {type CliSettings} from '../settings/cli-settings.js';
import {type CommandError} from './command-error.js';
import {type Environment} from './environment.js';

const listPath = '/instances';

/** Returns the admin addresses of the listed entry instances that are not leaving, or none if the settings contain no list. */
export function findListedInstances(environment: Environment, {instanceList, timeoutMs}: CliSettings): ResultAsync<Address[], CommandError> {
	if (instanceList === undefined) {
		return okAsync([]);
	}

	const {url, adminPort} = instanceList;
	return ResultAsync.fromPromise(environment.readJson(new URL(listPath, url), timeoutMs), thrown => toFailure((thrown as Error).message))
		.andThen(json => {
			const parsed = instanceListSchema.safeParse(json);
			return parsed.success ? ok(parsed.data.instances) : err(toFailure('its answer has an unexpected format'));
		})
		.map(instances => instances
			.filter(({role, state}) => role === 'entry' && state === 'live')
			.map(({address}) => withPort(address, adminPort)));
}

function withPort(address: Address, port: number): Address {
	return addressSchema.parse(`${address.slice(0, address.lastIndexOf(':'))}:${port}`);
}

function toFailure(message: string): CommandError {
	return {
		type: 'unavailable',
		message: `the instance list cannot be read: ${message}`,
		advice: 'check "instanceList.url" in the settings, or set "instances" to admin addresses',
	};
}
