/** Runs `cairnbank` commands inside the test process, over real connections, and captures their output. */
import {runCommandLine, wireEnvironment, type ExitCode} from '@cairnbank/cli';
import {type LogClient} from '@cairnbank/protocol/log';

export type OperatorSettings = {
	readonly logUrl: string;
	/** Admin addresses of the instances. */
	readonly instances?: readonly string[];
	/** The platform's instance list, used in addition to `instances`. */
	readonly instanceList?: {readonly url: string; readonly adminPort: number};
	readonly secret?: string;
	readonly author?: string;
	readonly onLine?: (line: string) => void;
	/** Runs after an append has taken effect and before its acknowledgement is read. */
	readonly afterAppend?: () => Promise<void>;
};

export type CommandResult = {
	readonly exitCode: ExitCode;
	readonly output: string;
	readonly errors: string;
};

const logTimeoutMs = 500;

function withAppendHook(log: LogClient, afterAppend?: () => Promise<void>): LogClient {
	return {
		read: (...args) => log.read(...args),
		append: (...args) => log.append(...args).map(async acknowledgement => {
			await afterAppend?.();
			return acknowledgement;
		}),
	};
}

/** Runs one command. `files` replaces the file system: it holds the content of each file by name. */
export async function runCommandInProcess(
	settings: OperatorSettings,
	args: readonly string[],
	files: Readonly<Record<string, unknown>> = {},
	interruptSignal: AbortSignal = new AbortController().signal,
): Promise<CommandResult> {
	const lines: string[] = [];
	const errors: string[] = [];
	const {logUrl, instances = [], instanceList, secret, author = 'clerk', onLine, afterAppend} = settings;
	const json = JSON.stringify({
		log: {url: logUrl, timeoutMs: logTimeoutMs}, instances, instanceList, operatorSecret: secret, author,
	});
	const environment = wireEnvironment(interruptSignal);
	const exitCode = await runCommandLine(args, {
		...environment,
		connectLog: log => withAppendHook(environment.connectLog(log), afterAppend),
		output: {
			line(text) {
				lines.push(text);
				onLine?.(text);
			},
			error: text => errors.push(text),
		},
		variables: {CAIRNBANK_CLI_SETTINGS: json},
		readText: async file => JSON.stringify(files[file]),
	});
	return {exitCode, output: lines.join('\n'), errors: errors.join('\n')};
}
