/**
 * Client of the platform's log over HTTP.
 *
 * `POST /streams/{stream}/records` appends its JSON body and answers 201 `{offset}`.
 * `GET /streams/{stream}/records?from=&limit=&waitMs=` answers with a page of records.
 */
import {
	ResultAsync, err, ok, type Result,
} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {CallSignal} from './call-signal.js';
import {type AppendAcknowledgement, type LogClient, type LogReadOptions} from './log-client.js';
import {type LogError} from './log-error.js';
import {logPageSchema, type LogPage} from './log-page.js';

const acknowledgementSchema = z.object({offset: z.int().min(1)});
/** Error codes of requests of which nothing was sent. */
const codesBeforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const defaultTimeoutMs = 5000;

export type HttpLogClientOptions = {
	readonly url: string;
	readonly timeoutMs?: number;
	readonly dispatcher?: Dispatcher;
};

type Call = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: string;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

function toLogError(cause: unknown): LogError {
	const error = cause as Error & {code?: string};
	const type = codesBeforeSending.has(error.code ?? '') ? 'unreachable' : 'unacknowledged';
	return {type, message: error.message};
}

/** Reads and appends records in the log at one URL. */
export class HttpLogClient implements LogClient {
	readonly #options: HttpLogClientOptions;

	constructor(options: HttpLogClientOptions) {
		this.#options = options;
	}

	append(stream: string, value: unknown, signal?: AbortSignal): ResultAsync<AppendAcknowledgement, LogError> {
		const path = `/streams/${encodeURIComponent(stream)}/records`;
		const body = JSON.stringify(value);
		return this.#call({
			method: 'POST', path, body, timeoutMs: this.#timeoutMs, signal,
		}, acknowledgementSchema);
	}

	read(stream: string, options: LogReadOptions): ResultAsync<LogPage, LogError> {
		const query = new URLSearchParams({
			from: String(options.fromOffset),
			limit: String(options.limit),
			waitMs: String(options.waitMs),
		});
		const path = `/streams/${encodeURIComponent(stream)}/records?${query.toString()}`;
		const timeoutMs = this.#timeoutMs + options.waitMs;
		return this.#call({
			method: 'GET', path, timeoutMs, signal: options.signal,
		}, logPageSchema);
	}

	get #timeoutMs(): number {
		return this.#options.timeoutMs ?? defaultTimeoutMs;
	}

	#call<T>(call: Call, schema: z.ZodType<T>): ResultAsync<T, LogError> {
		return ResultAsync.fromPromise(this.#send(call), toLogError).andThen(answer => this.#parseAnswer(answer, schema));
	}

	async #send(call: Call): Promise<{statusCode: number; text: string}> {
		const callSignal = new CallSignal(call.timeoutMs, call.signal);
		try {
			const {statusCode, body} = await request(new URL(call.path, this.#options.url), {
				method: call.method,
				body: call.body,
				headers: {'content-type': 'application/json'},
				signal: callSignal.signal,
				dispatcher: this.#options.dispatcher,
			});
			return {statusCode, text: await body.text()};
		} finally {
			callSignal.release();
		}
	}

	#parseAnswer<T>(answer: {statusCode: number; text: string}, schema: z.ZodType<T>): Result<T, LogError> {
		const {statusCode, text} = answer;
		if (statusCode >= 500) {
			return err({type: 'unacknowledged', message: `log answered ${statusCode}`});
		}

		if (statusCode >= 400) {
			return err({type: 'refused', statusCode, message: text});
		}

		return parseJson(text).andThen(value => {
			const parsed = schema.safeParse(value);
			return parsed.success ? ok(parsed.data) : err({type: 'malformed' as const, message: parsed.error.message});
		});
	}
}

function parseJson(text: string): Result<unknown, LogError> {
	try {
		return ok(JSON.parse(text));
	} catch (error) {
		return err({type: 'malformed', message: (error as Error).message});
	}
}
