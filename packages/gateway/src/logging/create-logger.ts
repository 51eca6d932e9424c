/** Creates the logger of the process, which writes JSON lines. */
import {Logger as TsLogger} from 'tslog';
import {logLevels} from '../settings/settings.js';

export type LogLevel = (typeof logLevels)[number];

/** Plain values only; request bodies must not be logged. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Log functions by level: the first argument is the text of the event, the second its fields. */
export type Logger = Readonly<Record<LogLevel, (event: string, fields?: LogFields) => void>>;

export type LoggerOptions = {
	readonly level: LogLevel;
	/** Fields that are added to every line. */
	readonly commonFields: LogFields;
	readonly write: (line: string) => void;
};

/** Number of `debug` among the levels of tslog; `info`, `warn` and `error` follow it. */
const libraryDebugLevel = 2;

export function createLogger({level, commonFields, write}: LoggerOptions): Logger {
	const logger = new TsLogger<unknown>({
		type: 'hidden',
		minLevel: logLevels.indexOf(level) + libraryDebugLevel,
		hideLogPositionForProduction: true,
	});
	logger.attachTransport(line => {
		const {_meta: meta, ...fields} = line as Record<string, unknown> & {_meta: {date: Date; logLevelName: string}};
		write(`${JSON.stringify({time: meta.date.toISOString(), level: meta.logLevelName.toLowerCase(), ...fields})}\n`);
	});
	const log = (name: LogLevel) => (event: string, fields: LogFields = {}) => {
		logger[name]({event, ...commonFields, ...fields});
	};

	return {
		debug: log('debug'), info: log('info'), warn: log('warn'), error: log('error'),
	};
}
