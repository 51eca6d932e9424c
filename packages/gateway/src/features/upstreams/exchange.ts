/** One request to one upstream and how it ended. */
import type {UpstreamAdvisory} from '@cairnbank/core/advisories';
import type {AdvertisedLimit} from '@cairnbank/core/limits';
import type {LoadReport} from '@cairnbank/core/placement';
import type {RequestDialect} from '../../ports/index.js';

/** Header names and values by turns, as they came. */
export type RawHeaders = readonly string[];

export type UpstreamAnswer = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
};

export type ExchangeFailure =
	/** No connection: nothing was sent. */
	| {readonly type: 'not-connected'; readonly message: string; readonly isTimeout: boolean}
	/** The connection ended before the answer was complete; the request may have run. */
	| {readonly type: 'broken'; readonly message: string}
	/** Bytes came that are no answer; the request may have run. */
	| {readonly type: 'malformed'; readonly message: string}
	/** No answer in the time given; the request may have run. */
	| {readonly type: 'timed-out'}
	/** Given up by the sender. */
	| {readonly type: 'cancelled'};

export type OutgoingRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: RawHeaders;
	readonly body: Uint8Array | undefined;
	/** An answer with another id belongs to an earlier request and is passed over. */
	readonly requestId: string | undefined;
	readonly timeoutMs: number;
};

/** Value of a header, whatever the case of its name. */
export function headerOf(headers: RawHeaders, name: string): string | undefined {
	for (let index = 0; index + 1 < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() === name) {
			return headers[index + 1];
		}
	}

	return undefined;
}

/** What an answer tells of its upstream's load; nothing where it tells none that can be read. */
export function loadOf({headers}: UpstreamAnswer, {loadHeader, parseLoad}: RequestDialect): LoadReport | undefined {
	const header = headerOf(headers, loadHeader);
	return header === undefined ? undefined : parseLoad(header);
}

/** The rate limit that an answer advertises; nothing where it advertises one that can't be read. */
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
	/** Names of headers whose values can't be read. */
	readonly unreadable: readonly string[];
};

const backOffStatus = 503;

/** What an answer advises whoever would send its upstream more. */
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
