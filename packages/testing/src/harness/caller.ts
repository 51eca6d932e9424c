/** A caller for tests: sends calls to instances and returns what it received. */
import {randomUUID} from 'node:crypto';
import {headerNames} from '@cairnbank/protocol';
import {Agent, type Dispatcher} from 'undici';
import {requestIdHeader} from '../stand-ins/run-counter.js';

const defaultTimeoutMs = 20_000;

export type CallOptions = {
	/** `IP:port` of the instance. */
	readonly instance: string;
	/** Path that starts with the service id, such as `/ledger/balance`. */
	readonly path: string;
	readonly method?: Dispatcher.HttpMethod;
	/** Id by which upstreams count runs; random if absent. A retry uses the id of the first attempt. */
	readonly requestId?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly timeoutMs?: number;
};

/** What the caller received for one call. */
export type CallResponse = {
	readonly requestId: string;
	readonly elapsedMs: number;
} & (
	/** A complete answer, usually of an upstream: its outcome header, if any, says neither `not-run` nor `unknown`. */
	| {readonly type: 'answered'; readonly statusCode: number; readonly headers: Headers; readonly body: string}
	/** A complete answer whose outcome header says that the call was not run or that its outcome is unknown. */
	| {readonly type: 'not-run' | 'unknown'; readonly statusCode: number; readonly headers: Headers; readonly body: string}
	/** The connection broke, or the call timed out, before the answer was complete. */
	| {readonly type: 'cut'; readonly message: string}
);

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Reuses connections between calls until it is closed. */
export class Caller {
	readonly #agent = new Agent({pipelining: 1, keepAliveTimeout: 10_000});

	async call(options: CallOptions): Promise<CallResponse> {
		const requestId = options.requestId ?? randomUUID();
		const startMs = performance.now();
		const response = await this.#send(options, requestId);
		return {...response, requestId, elapsedMs: performance.now() - startMs};
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #send(options: CallOptions, requestId: string) {
		try {
			const {statusCode, headers, body} = await this.#agent.request({
				origin: `http://${options.instance}`,
				path: options.path,
				method: options.method ?? 'GET',
				headers: {[requestIdHeader]: requestId, ...options.headers},
				body: options.body,
				signal: AbortSignal.timeout(options.timeoutMs ?? defaultTimeoutMs),
			});
			const text = await body.text();
			return {
				type: readResponseType(headers[headerNames.outcome]), statusCode, headers, body: text,
			};
		} catch (error) {
			return {type: 'cut' as const, message: (error as Error).message};
		}
	}
}

function readResponseType(outcome: string | string[] | undefined): 'answered' | 'not-run' | 'unknown' {
	return outcome === 'not-run' || outcome === 'unknown' ? outcome : 'answered';
}
