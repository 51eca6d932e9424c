/** Parses an incoming request into a call, or returns the outcome of an invalid request. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {digestKey, type ClientAccount} from '@cairnbank/core/accounts';
import type {Clock, RandomSource} from '@cairnbank/core';
import type {HeaderFilter} from '@cairnbank/core/headers';
import {hostNameOf, pickService, type RouteTable} from '@cairnbank/core/routes';
import {err, ok, type Result} from 'neverthrow';
import type {RequestDialect} from '../../ports/index.js';
import type {Call} from './call.js';
import type {Outcome} from './outcome.js';

/** Retry delay for callers of an instance that has no configuration yet. */
const startingRetryAfterMs = 200;

export type ReadCallOptions = {
	readonly routes: RouteTable | undefined;
	readonly dialect: RequestDialect;
	/** Removes the headers that the gateway sets itself on requests to upstreams. */
	readonly requestHeaders: HeaderFilter;
	readonly clock: Clock;
	readonly random: RandomSource;
};

type CallHead = Omit<Call, 'body'>;

/** Reads everything but the body. */
export function readCallHead(request: IncomingMessage, {routes, dialect, requestHeaders, clock, random}: ReadCallOptions): Result<CallHead, Outcome> {
	if (routes === undefined) {
		return err({type: 'not-run', reason: 'no-configuration', retryAfterMs: startingRetryAfterMs});
	}

	const {limits, version} = routes.configuration;
	const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
	if (headerBytes > limits.maximumHeaderBytes) {
		return err({type: 'bad-request', reason: 'header-too-large'});
	}

	if (Number(request.headers['content-length'] ?? 0) > limits.maximumBodyBytes) {
		return err({type: 'bad-request', reason: 'body-too-large'});
	}

	const target = request.url ?? '/';
	const route = routes.match(request.headers.host ?? '', target);
	const service = route === undefined ? undefined : pickService(route, random);
	if (route === undefined || service === undefined) {
		return err({type: 'bad-request', reason: 'no-route'});
	}

	const requestId = request.headers[dialect.requestIdHeader];
	if (typeof requestId !== 'string' || requestId === '') {
		return err({type: 'bad-request', reason: 'no-request-id'});
	}

	const deadlineHeader = request.headers[dialect.deadlineHeader];
	const waitMs = deadlineHeader === undefined ? route.timeoutMs : Number(deadlineHeader);
	if (!Number.isFinite(waitMs) || waitMs <= 0) {
		return err({type: 'bad-request', reason: 'bad-deadline'});
	}

	const receivedAtMs = clock.monotonicMs();
	return ok({
		requestId,
		caller: request.socket.remoteAddress ?? '',
		host: hostNameOf(request.headers.host ?? ''),
		method: request.method ?? 'GET',
		target,
		headers: requestHeaders.apply(request.rawHeaders),
		route,
		account: findAccount(routes, request.headers.authorization),
		priority: route.priority,
		service,
		configurationVersion: version,
		receivedAtMs,
		deadlineAtMs: receivedAtMs + Math.min(waitMs, route.timeoutMs),
	});
}

/** Finds the account of a key that the caller sends. */
function findAccount({configuration: {accounts}}: RouteTable, authorization: string | undefined): ClientAccount | undefined {
	const digest = digestKey(authorization?.replace(/^Bearer /, '') ?? '');
	return accounts?.find(({keys}) => keys.includes(digest));
}

/** Reads the whole body; undefined if the request has none, an error if the caller disconnected or the body is too large. */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Result<Uint8Array | undefined, 'too-large' | 'broken-off'>> {
	return new Promise(resolve => {
		if (request.destroyed) {
			// The caller disconnected while the request was held, so the stream emits no further event.
			resolve(err('broken-off'));
			return;
		}

		const chunks: Uint8Array[] = [];
		let bytes = 0;
		request.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			if (bytes > maximumBytes) {
				request.removeAllListeners('data');
				request.resume();
				resolve(err('too-large'));
				return;
			}

			chunks.push(chunk);
		});
		request.on('end', () => {
			const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
			resolve(ok(hasBody ? Buffer.concat(chunks) : undefined));
		});
		request.on('close', () => {
			resolve(err('broken-off'));
		});
	});
}
