/** Parses the head of an incoming request into a call, or returns the outcome of an invalid request. */
import type {IncomingMessage} from 'node:http';
import type {RandomSource} from '@cairnbank/core';
import type {HeaderFilter} from '@cairnbank/core/headers';
import {
	hostNameOf, pickService, type CallerLimits, type Route, type RouteTable,
} from '@cairnbank/core/routes';
import {err, ok, type Result} from 'neverthrow';
import type {RequestDialect} from '../../ports/index.js';
import type {Authenticator} from './authenticator.js';
import type {Call} from './call.js';
import type {BadRequestReason, Outcome} from './outcome.js';

/** Retry delay for callers of an instance that has no configuration yet. */
const startingRetryAfterMs = 200;

export type ReadCallOptions = {
	readonly routes: RouteTable | undefined;
	readonly dialect: RequestDialect;
	/** Removes the headers that the gateway sets itself on requests to upstreams. */
	readonly requestHeaders: HeaderFilter;
	readonly authenticator: Pick<Authenticator, 'authenticate'>;
	/** Time of the monotonic clock at which the head was read. */
	readonly receivedAtMs: number;
	readonly random: RandomSource;
};

type CallHead = Omit<Call, 'body'>;

/** Reads everything but the body. */
export function readCallHead(request: IncomingMessage, options: ReadCallOptions): Result<CallHead, Outcome> {
	const {routes, dialect, requestHeaders, authenticator, receivedAtMs, random} = options;
	if (routes === undefined) {
		return err({type: 'not-run', reason: 'no-configuration', retryAfterMs: startingRetryAfterMs});
	}

	const {limits, version} = routes.configuration;
	const oversize = findOversize(request, limits);
	if (oversize !== undefined) {
		return err({type: 'bad-request', reason: oversize});
	}

	const {expect} = request.headers;
	if (expect !== undefined && expect.toLowerCase() !== '100-continue') {
		return err({type: 'bad-request', reason: 'unknown-expectation'});
	}

	const target = request.url ?? '/';
	const route = routes.match(request.headers.host ?? '', target);
	const service = route === undefined ? undefined : pickService(route, random);
	if (route === undefined || service === undefined) {
		return err({type: 'bad-request', reason: 'no-route'});
	}

	const authenticated = authenticator.authenticate(request.headersDistinct[dialect.credentialsHeader] ?? [], route, routes);
	if (authenticated.isErr()) {
		return err(authenticated.error);
	}

	const {account, accountKey} = authenticated.value;
	const requestId = request.headers[dialect.requestIdHeader];
	if (typeof requestId !== 'string' || requestId === '') {
		return err({type: 'bad-request', reason: 'no-request-id'});
	}

	const waitMs = readWaitMs(request.headers[dialect.deadlineHeader], route);
	if (waitMs === undefined) {
		return err({type: 'bad-request', reason: 'bad-deadline'});
	}

	return ok({
		requestId,
		caller: request.socket.remoteAddress ?? '',
		host: hostNameOf(request.headers.host ?? ''),
		method: request.method ?? 'GET',
		target,
		headers: [...requestHeaders.apply(request.rawHeaders), ...(account === undefined ? [] : [dialect.accountHeader, account.id])],
		route,
		account,
		accountKey,
		priority: account?.priority ?? route.priority,
		service,
		configurationVersion: version,
		receivedAtMs,
		deadlineAtMs: receivedAtMs + Math.min(waitMs, route.timeoutMs),
	});
}

function findOversize({rawHeaders, headers}: IncomingMessage, {maximumHeaderBytes, maximumBodyBytes}: CallerLimits): BadRequestReason | undefined {
	const headerBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
	if (headerBytes > maximumHeaderBytes) {
		return 'header-too-large';
	}

	return Number(headers['content-length'] ?? 0) > maximumBodyBytes ? 'body-too-large' : undefined;
}

/** @returns the time for which the caller waits; undefined if the header is invalid */
function readWaitMs(deadlineHeader: string | string[] | undefined, {timeoutMs}: Route): number | undefined {
	const waitMs = deadlineHeader === undefined ? timeoutMs : Number(deadlineHeader);
	return Number.isFinite(waitMs) && waitMs > 0 ? waitMs : undefined;
}
