/** A caller for tests: sends one call to one instance and tells what it was told. */
import {randomUUID} from 'node:crypto';
import {headerNames} from '@cairnbank/protocol';
import {Agent, type Dispatcher} from 'undici';
import {requestIdHeader} from '../stand-ins/run-counter.js';

const defaultTimeoutMs = 20_000;

export type CallOptions = {
	/** `IP:port` of the instance. */
	readonly instance: string;
	/** Service first, such as `/ledger/balance`. */
	readonly path: string;
	readonly method?: Dispatcher.HttpMethod;
	/** Counted by upstreams; a random one if absent. A resend carries the same. */
	readonly requestId?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly timeoutMs?: number;
};

export type CallResponse = {
	readonly requestId: string;
	readonly elapsedMs: number;
} & (
	/** A whole answer of an upstream. */
	| {readonly type: 'answered'; readonly statusCode: number; readonly headers: Headers; readonly body: string}
	/** The system says so; `reason` is the problem's type. */
	| {readonly type: 'not-run' | 'unknown'; readonly statusCode: number; readonly headers: Headers; readonly body: string}
	/** The connection broke or timed out without a whole answer. */
	| {readonly type: 'cut'; readonly message: string}
);

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Keeps connections between calls; close it at the end. */
export class Caller {
	readonly #agent = new Agent({pipelining: 1, keepAliveTimeout: 10_000});

	async call(options: CallOptions): Promise<CallResponse> {
		const requestId = options.requestId ?? randomUUID();
		const startMs = performance.now();
		const told = await this.#send(options, requestId);
		return {...told, requestId, elapsedMs: performance.now() - startMs};
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
