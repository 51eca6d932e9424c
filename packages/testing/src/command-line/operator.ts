/** An operator at `cairnbank`, inside this process: its outputs are kept, its connections are real. */
import {runCommandLine, wireEnvironment, type ExitCode} from '@cairnbank/cli';
import {type LogClient} from '@cairnbank/protocol/log';

export type OperatorSettings = {
	readonly logUrl: string;
	/** Admin addresses. */
	readonly instances?: readonly string[];
	/** The platform's list, besides. */
	readonly instanceList?: {readonly url: string; readonly adminPort: number};
	readonly secret?: string;
	readonly author?: string;
	readonly onLine?: (line: string) => void;
	/** Runs after an append has taken effect and before its acknowledgement is read. */
	readonly afterAppend?: () => Promise<void>;
};

export type OperatorRun = {
	readonly exitCode: ExitCode;
	readonly output: string;
	readonly errors: string;
};

const logTimeoutMs = 500;

function withHook(log: LogClient, afterAppend?: () => Promise<void>): LogClient {
	return {
		read: (...args) => log.read(...args),
		append: (...args) => log.append(...args).map(async acknowledgement => {
			await afterAppend?.();
			return acknowledgement;
		}),
	};
}

/** Runs one command; `files` stands in for the file system. */
export async function runAsOperator(
	settings: OperatorSettings,
	args: readonly string[],
	files: Readonly<Record<string, unknown>> = {},
	interrupted: AbortSignal = new AbortController().signal,
): Promise<OperatorRun> {
	const lines: string[] = [];
	const errors: string[] = [];
	const {logUrl, instances = [], instanceList, secret, author = 'clerk', onLine, afterAppend} = settings;
	const json = JSON.stringify({
		log: {url: logUrl, timeoutMs: logTimeoutMs}, instances, instanceList, operatorSecret: secret, author,
	});
	const environment = wireEnvironment(interrupted);
	const exitCode = await runCommandLine(args, {
		...environment,
		connectLog: log => withHook(environment.connectLog(log), afterAppend),
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
