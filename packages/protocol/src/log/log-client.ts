/** Port through which the platform's append-only log is used. */
import {type ResultAsync} from 'neverthrow';
import {type LogError} from './log-error.js';
import {type LogPage} from './log-page.js';

export type AppendAcknowledgement = {
	readonly offset: number;
};

export type LogReadOptions = {
	readonly fromOffset: number;
	readonly limit: number;
	/** Maximum time that the log may delay the answer while there is no record to read (long polling). */
	readonly waitMs: number;
	readonly signal?: AbortSignal;
};

export type LogClient = {
	append(stream: string, value: unknown, signal?: AbortSignal): ResultAsync<AppendAcknowledgement, LogError>;
	read(stream: string, options: LogReadOptions): ResultAsync<LogPage, LogError>;
};
