/** One run of a command: the outside world, and connections made from the settings on demand. */
import {type Address, type Author} from '@cairnbank/core';
import {configurationStream} from '@cairnbank/core/configuration';
import {redirectStream, type LogClient} from '@cairnbank/protocol/log';
import {type OperatorsClient} from '@cairnbank/protocol/operators';
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {readCliSettings} from '../settings/read-cli-settings.js';
import {type CliSettings} from '../settings/cli-settings.js';
import {type CommandError} from './command-error.js';
import {type Environment} from './environment.js';
import {findListedInstances} from './listed-instances.js';

export class Session {
	readonly #settingsFile: string | undefined;
	#settings: ResultAsync<CliSettings, CommandError> | undefined;

	constructor(readonly environment: Environment, settingsFile?: string) {
		this.#settingsFile = settingsFile;
	}

	/** The settings, read once. */
	settings(): ResultAsync<CliSettings, CommandError> {
		this.#settings ??= readCliSettings(this.environment, this.#settingsFile);
		return this.#settings;
	}

	log(): ResultAsync<LogClient, CommandError> {
		return this.settings().map(({log}) => redirectStream(this.environment.connectLog(log), configurationStream, log.configurationStream));
	}

	/** Clients of the instances that the settings name and of those that the platform lists now. */
	instances(): ResultAsync<OperatorsClient[], CommandError> {
		return this.settings().andThen(settings => findListedInstances(this.environment, settings)
			.orElse(error => settings.instances.length > 0 ? ok([]) : err(error))
			.andThen(listed => this.#connect(settings, [...new Set([...settings.instances, ...listed])])));
	}

	/** Client of one of these instances. */
	instance(address: Address): ResultAsync<OperatorsClient, CommandError> {
		return this.instances().andThen(clients => {
			const client = clients.find(one => one.address === address);
			return client === undefined
				? err({type: 'wrong-use' as const, message: `neither the settings nor the platform's list name an instance ${address}`, advice: 'name an admin address that they have'})
				: ok(client);
		});
	}

	/** Who a change is published as: an option, the settings, or the system's name of the person. */
	author(fromOption: Author | undefined): ResultAsync<Author, CommandError> {
		return this.settings().andThen(settings => {
			const author = fromOption ?? settings.author ?? this.environment.userName as Author | undefined;
			return author === undefined
				? err({type: 'wrong-use' as const, message: 'no author', advice: 'give --author <name> or set "author" in the settings'})
				: ok(author);
		});
	}

	#connect({operatorSecret, timeoutMs, instanceList}: CliSettings, instances: readonly Address[]): Result<OperatorsClient[], CommandError> {
		if (instances.length === 0 && instanceList !== undefined) {
			return err({type: 'unavailable', message: 'the platform lists no entry instance in service', advice: 'start an instance, or name admin addresses in "instances"'});
		}

		if (instances.length === 0 || operatorSecret === undefined) {
			return err({
				type: 'wrong-use',
				message: 'the settings name no instance to ask, or no secret',
				advice: 'set "instances" to admin addresses or "instanceList" to the platform\'s list, and "operatorSecret" to the operators\' secret',
			});
		}

		return ok(instances.map(address => this.environment.connectInstance({address, secret: operatorSecret, timeoutMs})));
	}
}
