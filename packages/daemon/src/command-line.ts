/** The command line of `cairnbankd`. */
import {cac} from 'cac';
import {err, ok, type Result} from 'neverthrow';

const settingsOption = '--settings';

const exitCodesHelp = [
	'  0  stopped gracefully, after SIGTERM, SIGINT or an operator\'s request',
	'  1  a port could not be opened',
	'  2  usage error, or invalid settings',
].join('\n');

export type CommandLine =
	/** Help was requested and has been printed. */
	| {readonly type: 'help'}
	| {readonly type: 'run'; readonly settingsFile: string | undefined};

/** Parses the arguments of the process. The error is a message that describes what is wrong with them. */
export function parseCommandLine(argv: readonly string[]): Result<CommandLine, string> {
	const cli = cac('cairnbankd');
	const command = cli.command('', 'Run one entry instance until it is told to stop')
		.option(`${settingsOption} <file>`, 'Settings as JSON: a path, or "-" for standard input (default: the JSON in CAIRNBANK_SETTINGS)')
		.example('  cairnbankd --settings samples/authority/settings.json');
	cli.help(sections => [...sections, {title: 'Exit codes', body: exitCodesHelp}]);
	try {
		const {options} = cli.parse(withAttachedDash(argv), {run: false});
		if (options.help) {
			return ok({type: 'help'});
		}

		command.checkUnknownOptions();
		command.checkOptionValue();
		command.checkUnusedArgs();
		return ok({type: 'run', settingsFile: options.settings === undefined ? undefined : String(options.settings)});
	} catch (error) {
		return err((error as Error).message);
	}
}

/** Joins a lone `-` with the option before it, because the argument parser does not accept a lone `-` as a value. */
function withAttachedDash(argv: readonly string[]): string[] {
	return argv.flatMap((argument, index) => {
		const attached = argument === '-' && argv[index - 1] === settingsOption;
		const beforeDash = argument === settingsOption && argv[index + 1] === '-';
		return beforeDash ? [] : [attached ? `${settingsOption}=-` : argument];
	});
}
