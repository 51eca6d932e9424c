/** Types of one request to one upstream and its result, and readers for the headers of answers. */
import type {Fingerprint} from '@cairnbank/core';
import type {UpstreamAdvisory} from '@cairnbank/core/advisories';
import type {AdvertisedLimit} from '@cairnbank/core/limits';
import type {LoadReport} from '@cairnbank/core/placement';
import type {Result} from 'neverthrow';
import type {RequestDialect} from '../../ports/index.js';
import type {RawHeaders, UpstreamAnswer} from './upstream-answer.js';

export type ExchangeFailure =
	/** No connection was opened, so nothing was sent. */
	| {readonly type: 'not-connected'; readonly message: string; readonly isTimeout: boolean}
	/** No other instance took the request to pass it on, so nothing was sent. */
	| {readonly type: 'no-relay'; readonly message: string}
	/** The connection ended before the answer was complete; the request may have run. */
	| {readonly type: 'broken'; readonly message: string}
	/** The received bytes are not a valid answer; the request may have run. */
	| {readonly type: 'malformed'; readonly message: string}
	/** The answer was given up before its end, as it was the longest and memory was short; the request may have run. */
	| {readonly type: 'answer-outgrown'}
	/** No answer arrived within the timeout; the request may have run. */
	| {readonly type: 'timed-out'}
	/** Cancelled by the sender. */
	| {readonly type: 'cancelled'};

/** A whole body, in the blocks in which it was read: joining them would take their memory twice. */
export type RequestBody = {readonly length: number; readonly parts: readonly Uint8Array[]};

export type OutgoingRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: RawHeaders;
	readonly body: RequestBody | undefined;
	/** An answer with another id belongs to an earlier request and is ignored. */
	readonly requestId: string | undefined;
	/** Identifies the request if upstreams crash under it; undefined for health checks. */
	readonly fingerprint?: (() => Fingerprint) | undefined;
	readonly timeoutMs: number;
	/** Called if a request that was cancelled or timed out ends shortly afterwards: its answer may ask for a back-off, and a broken connection may show a crash. */
	readonly onLateEnd?: ((result: Result<UpstreamAnswer, ExchangeFailure>) => void) | undefined;
};

/** Returns the value of a header; `name` is in lower case and matches any case. */
export function headerOf(headers: RawHeaders, name: string): string | undefined {
	for (let index = 0; index + 1 < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() === name) {
			return headers[index + 1];
		}
	}

	return undefined;
}

/** Returns the load report of an answer; undefined if there is none or it can't be parsed. */
export function loadOf({headers}: UpstreamAnswer, {loadHeader, parseLoad}: RequestDialect): LoadReport | undefined {
	const header = headerOf(headers, loadHeader);
	return header === undefined ? undefined : parseLoad(header);
}

/** Returns the rate limit that an answer advertises; undefined if it can't be parsed. */
export function rateLimitOf({headers}: UpstreamAnswer, {rateLimitHeader, parseRateLimit}: RequestDialect): AdvertisedLimit | undefined {
	const header = headerOf(headers, rateLimitHeader);
	if (header === undefined) {
		return {type: 'none'};
	}

	const requestsPerSecond = parseRateLimit(header);
	return requestsPerSecond === undefined ? undefined : {type: 'limited', requestsPerSecond};
}

export type AnswerAdvisories = {
	readonly advisories: readonly UpstreamAdvisory[];
	/** Names of headers whose values can't be parsed. */
	readonly unreadable: readonly string[];
};

const backOffStatus = 503;

/** Returns the advisories of an answer on whether its upstream takes further requests. */
export function advisoriesOf({status, headers}: UpstreamAnswer, dialect: RequestDialect): AnswerAdvisories {
	const advisories: UpstreamAdvisory[] = [];
	const unreadable: string[] = [];
	const read = <Value>(header: string, parse: (value: string) => Value | undefined): Value | undefined => {
		const text = headerOf(headers, header);
		const value = text === undefined ? undefined : parse(text);
		if (text !== undefined && value === undefined) {
			unreadable.push(header);
		}

		return value;
	};

	if (read(dialect.leavingHeader, dialect.parseLeaving) === true) {
		advisories.push({type: 'leaving'});
	}

	const backOffMs = status === backOffStatus ? read(dialect.backOffHeader, dialect.parseBackOffMs) : undefined;
	if (backOffMs !== undefined) {
		advisories.push({type: 'back-off', durationMs: backOffMs});
	}

	return {advisories, unreadable};
}
