/** Entry point of `cairnbankd`: reads the settings, runs a daemon and stops it gracefully on SIGTERM and SIGINT. */
import process from 'node:process';
import {parseCommandLine} from './command-line.js';
import {readSettings} from './settings/read-settings.js';
import {describeSettingsError} from './settings/settings-error.js';
import {wireDaemon} from './wire.js';

const exitCodes = {success: 0, startFailed: 1, usageError: 2} as const;

async function run(file: string | undefined, stopRequested: Promise<void>): Promise<number> {
	const settings = await Promise.race([readSettings({file, environment: process.env}), stopRequested]);
	if (settings === undefined) {
		// Standard input may never be closed from outside and would keep the process running.
		process.stdin.destroy();
		return exitCodes.success;
	}

	if (settings.isErr()) {
		process.stderr.write(`cairnbankd: ${describeSettingsError(settings.error).join('\n')}\n`);
		return exitCodes.usageError;
	}

	const daemon = wireDaemon(settings.value);
	const started = await daemon.start();
	if (started.isErr() && started.error.type === 'cannot-listen') {
		process.stderr.write(`cairnbankd: cannot listen for ${started.error.listener}: ${started.error.message}\n`);
		await daemon.stop();
		return exitCodes.startFailed;
	}

	await Promise.race([stopRequested, daemon.stopRequested]);
	await daemon.stop();
	return exitCodes.success;
}

// Registered before anything else, so that a signal during the start also leads to a graceful stop.
const stopRequested = new Promise<void>(resolve => {
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.on(signal, () => {
			resolve();
		});
	}
});
const commandLine = parseCommandLine(process.argv);
if (commandLine.isErr()) {
	process.stderr.write(`cairnbankd: ${commandLine.error}; see cairnbankd --help\n`);
	process.exitCode = exitCodes.usageError;
} else if (commandLine.value.type === 'run') {
	process.exitCode = await run(commandLine.value.settingsFile, stopRequested);
}
