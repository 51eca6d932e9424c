/** `cairnbankd`: reads settings, runs one daemon, stops gracefully on SIGTERM and SIGINT. */
import process from 'node:process';
import {parseCommandLine} from './command-line.js';
import {readSettings} from './settings/read-settings.js';
import {describeSettingsError} from './settings/settings-error.js';
import {wireDaemon} from './wire.js';

const exitCodes = {done: 0, cannotStart: 1, wrongInput: 2} as const;

async function run(file: string | undefined, stopRequested: Promise<void>): Promise<number> {
	const settings = await Promise.race([readSettings({file, environment: process.env}), stopRequested]);
	if (settings === undefined) {
		// Nobody may ever close standard input.
		process.stdin.destroy();
		return exitCodes.done;
	}

	if (settings.isErr()) {
		process.stderr.write(`cairnbankd: ${describeSettingsError(settings.error).join('\n')}\n`);
		return exitCodes.wrongInput;
	}

	const daemon = wireDaemon(settings.value);
	const started = await daemon.start();
	if (started.isErr() && started.error.type === 'cannot-listen') {
		process.stderr.write(`cairnbankd: cannot listen for ${started.error.listener}: ${started.error.message}\n`);
		await daemon.stop();
		return exitCodes.cannotStart;
	}

	await Promise.race([stopRequested, daemon.stopRequested]);
	await daemon.stop();
	return exitCodes.done;
}

// Stands before anything else is done, so that a signal during the start is a graceful stop too.
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
	process.exitCode = exitCodes.wrongInput;
} else if (commandLine.value.type === 'run') {
	process.exitCode = await run(commandLine.value.settingsFile, stopRequested);
}
