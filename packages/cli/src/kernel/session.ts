/** One run of a command: its environment, and clients that are created from the settings on demand. */
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

	/** Reads the settings at the first call and returns the same result afterwards. */
	settings(): ResultAsync<CliSettings, CommandError> {
		this.#settings ??= readCliSettings(this.environment, this.#settingsFile);
		return this.#settings;
	}

	log(): ResultAsync<LogClient, CommandError> {
		return this.settings().map(({log}) => redirectStream(this.environment.connectLog(log), configurationStream, log.configurationStream));
	}

	/** Creates clients for the instances in the settings and for those that the platform currently lists. */
	instances(): ResultAsync<OperatorsClient[], CommandError> {
		return this.settings().andThen(settings => findListedInstances(this.environment, settings)
			.orElse(error => settings.instances.length > 0 ? ok([]) : err(error))
			.andThen(listed => this.#connect(settings, [...new Set([...settings.instances, ...listed])])));
	}

	/** Creates a client for the one of these instances that has this admin address. */
	instance(address: Address): ResultAsync<OperatorsClient, CommandError> {
		return this.instances().andThen(clients => {
			const client = clients.find(one => one.address === address);
			return client === undefined
				? err({type: 'wrong-use' as const, message: `neither the settings nor the platform's list contains an instance ${address}`, advice: 'use an admin address that one of them contains'})
				: ok(client);
		});
	}

	/** Chooses the author of a change: the option, else the settings, else the operating system's user name. */
	author(fromOption: Author | undefined): ResultAsync<Author, CommandError> {
		return this.settings().andThen(settings => {
			const author = fromOption ?? settings.author ?? this.environment.userName as Author | undefined;
			return author === undefined
				? err({type: 'wrong-use' as const, message: 'no author', advice: 'pass --author <name> or set "author" in the settings'})
				: ok(author);
		});
	}

	#connect({operatorSecret, timeoutMs, instanceList}: CliSettings, instances: readonly Address[]): Result<OperatorsClient[], CommandError> {
		if (instances.length === 0 && instanceList !== undefined) {
			return err({type: 'unavailable', message: 'the platform lists no live entry instance', advice: 'start an instance, or set "instances" to admin addresses'});
		}

		if (instances.length === 0 || operatorSecret === undefined) {
			return err({
				type: 'wrong-use',
				message: 'the settings contain no instance or no operator secret',
				advice: 'set "instances" to admin addresses or "instanceList" to the platform\'s list, and "operatorSecret" to the operators\' secret',
			});
		}

		return ok(instances.map(address => this.environment.connectInstance({address, secret: operatorSecret, timeoutMs})));
	}
}
