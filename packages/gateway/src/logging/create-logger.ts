/** The one logger of a process: JSON lines. */
import {Logger as TsLogger} from 'tslog';
import {logLevels} from '../settings/settings.js';

export type LogLevel = (typeof logLevels)[number];

/** Plain values alone: request bodies have no place in a log. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The first argument is the event's text, the second its fields. */
export type Logger = Readonly<Record<LogLevel, (event: string, fields?: LogFields) => void>>;

export type LoggerOptions = {
	readonly level: LogLevel;
	/** Fields that every line carries. */
	readonly fixed: LogFields;
	readonly write: (line: string) => void;
};

/** Numbers of the library's levels `debug` to `error`. */
const firstLevel = 2;

export function createLogger({level, fixed, write}: LoggerOptions): Logger {
	const logger = new TsLogger<unknown>({
		type: 'hidden',
		minLevel: logLevels.indexOf(level) + firstLevel,
		hideLogPositionForProduction: true,
	});
	logger.attachTransport(line => {
		const {_meta: meta, ...fields} = line as Record<string, unknown> & {_meta: {date: Date; logLevelName: string}};
		write(`${JSON.stringify({time: meta.date.toISOString(), level: meta.logLevelName.toLowerCase(), ...fields})}\n`);
	});
	const log = (name: LogLevel) => (event: string, fields: LogFields = {}) => {
		logger[name]({event, ...fixed, ...fields});
	};

	return {
		debug: log('debug'), info: log('info'), warn: log('warn'), error: log('error'),
	};
}
