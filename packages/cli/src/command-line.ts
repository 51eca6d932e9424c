/** Parses a command line, runs its command and returns the exit code. */
import {toValidationFaults} from '@cairnbank/core';
import {cac, type CAC, type Command as CacCommand} from 'cac';
import {err} from 'neverthrow';
import {commands} from './commands/registry.js';
import {exitCodes, exitCodesHelp, type ExitCode} from './exit-codes/exit-code.js';
import {type CommandError, describeError, toExitCode} from './kernel/command-error.js';
import {type Command, type CommandResult} from './kernel/command.js';
import {type Environment} from './kernel/environment.js';
import {Session} from './kernel/session.js';
import {cliSettingsVariable} from './settings/read-cli-settings.js';

const programName = 'cairnbank';
const helpAdvice = `see \`${programName} --help\``;

/** Replaces a lone `-` while the arguments are parsed. Arguments of a process cannot contain NUL, so it collides with none. */
const loneDashPlaceholder = '\0';

/** The parser expects a process's whole argument list, which begins with the runtime and the script. */
const leadingArguments = [programName, programName];

type ParsedCommandLine =
	/** The command line asked for help, which the parser has printed. */
	| {readonly type: 'help'}
	| {readonly type: 'wrong'; readonly error: CommandError}
	| {
		readonly type: 'run';
		readonly command: Command;
		readonly positional: readonly string[];
		readonly options: Readonly<Record<string, unknown>>;
	};

type RunnableCommandLine = Extract<ParsedCommandLine, {type: 'run'}>;

/** Runs `cairnbank` with `args`, the arguments that follow the program's name. */
export async function runCommandLine(args: readonly string[], environment: Environment): Promise<ExitCode> {
	const line = parse(args);
	switch (line.type) {
		case 'help': {
			return exitCodes.success;
		}

		case 'wrong': {
			return printFailure(environment, line.error);
		}

		case 'run': {
			const result = await run(line, environment);
			return result.match(() => exitCodes.success, error => printFailure(environment, error));
		}
	}
}

function parse(args: readonly string[]): ParsedCommandLine {
	const cli = buildParser();
	try {
		cli.parse([...leadingArguments, ...args.map(argument => escapeLoneDash(argument))], {run: false});
		return cli.options.help === true ? {type: 'help'} : toParsedCommandLine(cli);
	} catch (error) {
		return {type: 'wrong', error: {type: 'wrong-use', message: (error as Error).message, advice: helpAdvice}};
	}
}

/** Throws the parser's error if an option or argument is unknown, missing or superfluous. */
function toParsedCommandLine(cli: CAC): ParsedCommandLine {
	const command = commands.find(({usage}) => usage.split(' ')[0] === cli.matchedCommandName);
	if (command === undefined) {
		const message = cli.args.length === 0 ? 'no command given' : `there is no command ${cli.args[0]}`;
		return {type: 'wrong', error: {type: 'wrong-use', message, advice: helpAdvice}};
	}

	checkUsage(cli.matchedCommand!);
	const {'--': _, ...options} = cli.options;
	return {
		type: 'run', command, positional: cli.args.map(argument => unescapeLoneDash(argument)), options: unescapeLoneDashes(options),
	};
}

/** Replaces a lone `-`, which stands for standard input, because the parser would drop it. */
function escapeLoneDash(argument: string): string {
	return argument === '-' ? loneDashPlaceholder : argument;
}

function unescapeLoneDash(argument: string): string {
	return argument === loneDashPlaceholder ? '-' : argument;
}

function unescapeLoneDashes(options: Readonly<Record<string, unknown>>): Record<string, unknown> {
	return Object.fromEntries(Object.entries(options).map(([name, value]) => [name, typeof value === 'string' ? unescapeLoneDash(value) : value]));
}

function checkUsage(command: CacCommand): void {
	command.checkUnknownOptions();
	command.checkOptionValue();
	command.checkRequiredArgs();
	command.checkUnusedArgs();
}

function buildParser(): CAC {
	const cli = cac(programName);
	cli.option('--settings <file>', `Settings of the command line as JSON (default: the JSON in ${cliSettingsVariable})`);
	for (const command of commands) {
		const added = cli.command(command.usage, command.summary);
		for (const {flags, description} of command.options) {
			added.option(flags, description);
		}

		for (const example of command.examples) {
			added.example(`  ${example}`);
		}
	}

	cli.help(sections => [...sections, {title: 'Exit codes', body: exitCodesHelp}]);
	return cli;
}

async function run({command, positional, options: {settings, ...options}}: RunnableCommandLine, environment: Environment): Promise<CommandResult> {
	const parsed = command.optionsSchema.safeParse(options);
	if (!parsed.success) {
		const faults = toValidationFaults(parsed.error).map(fault => ({...fault, path: `--${toFlag(fault.path)}`}));
		return err({
			type: 'wrong-use', message: 'an option has an invalid value', faults, advice: helpAdvice,
		});
	}

	// The parser converts a file name that consists of digits to a number.
	const file = settings as string | number | undefined;
	const session = new Session(environment, file === undefined ? undefined : String(file));
	return command.run(session, positional, parsed.data);
}

/** Converts the name of an option to its flag without the dashes: `waitMs` becomes `wait-ms`. */
function toFlag(optionName: string): string {
	return optionName.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

function printFailure({output}: Environment, error: CommandError): ExitCode {
	for (const line of describeError(error)) {
		output.error(line);
	}

	return toExitCode(error);
}
