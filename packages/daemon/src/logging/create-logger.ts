/** The logger of the daemon, which writes JSON lines to standard output. */
import process from 'node:process';
import {Logger as TsLogger} from 'tslog';
import {logLevels, type LogLevel} from '../settings/logging-settings.js';

export type LoggerOptions = {
	readonly level: LogLevel;
	/** Id of this instance, which every line contains. */
	readonly instance: string;
	/** Receives each line; standard output by default, replaced in specs. */
	readonly write?: (line: string) => void;
};

/** A logger of events; each line consists of the text of the event and its fields. */
export type Logger = {
	debug(event: string, fields?: LogFields): void;
	info(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
	error(event: string, fields?: LogFields): void;
	/** Returns a logger that adds the name of a feature to each line. */
	forFeature(feature: string): Logger;
};

/** Only plain values: request bodies, keys and secrets must not be logged. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

type LineLevel = 'debug' | 'info' | 'warn' | 'error';

/** Creates the logger of a daemon. */
export function createLogger(options: LoggerOptions): Logger {
	const logger = new TsLogger<unknown>({
		type: 'hidden',
		minLevel: logLevels.indexOf(options.level),
		hideLogPositionForProduction: true,
	});
	const write = options.write ?? (line => process.stdout.write(line));
	logger.attachTransport(line => {
		write(`${JSON.stringify(toJsonLine(line))}\n`);
	});
	return withCommonFields(logger, {instance: options.instance});
}

function withCommonFields(logger: TsLogger<unknown>, commonFields: LogFields): Logger {
	const log = (level: LineLevel) => (event: string, fields: LogFields = {}) => {
		logger[level]({event, ...commonFields, ...fields});
	};

	return {
		debug: log('debug'),
		info: log('info'),
		warn: log('warn'),
		error: log('error'),
		forFeature: feature => withCommonFields(logger, {...commonFields, feature}),
	};
}

type TslogLine = Record<string, unknown> & {
	readonly _meta?: {readonly date: Date; readonly logLevelName: string};
};

function toJsonLine(line: TslogLine): Record<string, unknown> {
	const {_meta: meta, ...fields} = line;
	return {time: meta?.date.toISOString(), level: meta?.logLevelName.toLowerCase(), ...fields};
}
