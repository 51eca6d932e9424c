/** `cairnbankd`: reads settings, runs one daemon, stops gracefully on SIGTERM and SIGINT. */
import process from 'node:process';
import {cac} from 'cac';
import {readSettings} from './settings/read-settings.js';
import {describeSettingsError} from './settings/settings-error.js';
import {wireDaemon} from './wire.js';

const settingsOption = '--settings';
const exitCodes = {done: 0, wrongInput: 2, cannotStart: 1} as const;

/** The argument parser takes a lone `-` for no value, so it is attached to its option. */
function withAttachedDash(argv: readonly string[]): string[] {
	return argv.flatMap((argument, index) => {
		const attached = argument === '-' && argv[index - 1] === settingsOption;
		const beforeDash = argument === settingsOption && argv[index + 1] === '-';
		return beforeDash ? [] : [attached ? `${settingsOption}=-` : argument];
	});
}

async function run(file: string | undefined, stopRequested: Promise<void>): Promise<number> {
	const settings = await readSettings({file, environment: process.env});
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

const cli = cac('cairnbankd');
cli.option('--settings <file>', 'Settings as JSON: a path, or "-" for standard input');
cli.help();
// Stands before anything else is done, so that a signal during the start is a graceful stop too.
const stopRequested = new Promise<void>(resolve => {
	process.on('SIGTERM', resolve);
	process.on('SIGINT', resolve);
});
const {options} = cli.parse(withAttachedDash(process.argv));
if (!options.help) {
	process.exitCode = await run(options.settings as string | undefined, stopRequested);
}
