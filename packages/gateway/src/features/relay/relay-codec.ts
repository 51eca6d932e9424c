/**
 * Encodes requests that one instance passes on for another, and their results. The head travels as one header in base64url, which
 * keeps the headers of callers and upstreams apart from those of the hop; bodies travel as they are, framed by HTTP.
 */
import {Buffer} from 'node:buffer';
import type {Fingerprint, UpstreamId} from '@cairnbank/core';
import {err, ok, type Result} from 'neverthrow';
import * as v from 'valibot';
import {fingerprintPattern} from '../fleet/suspects-codec.js';
import type {ExchangeFailure, OutgoingRequest} from '../upstreams/exchange.js';
import type {AnswerParts} from '../upstreams/upstream-answer.js';

export const relayPath = '/relay';
export const relayHeadHeader = 'x-relay-head';
/** Refusal of an instance that has lost its own links. */
export const noLink = 'no-link';
/** Reasons for which an instance refuses to pass a request on, with the status of each; they alone prove that it was not sent. */
export const relayRefusalStatuses = {
	'unknown-instance': 403, unreadable: 400, 'too-large': 413, busy: 503, leaving: 503, 'unknown-upstream': 404, [noLink]: 503,
} as const;

/** Largest body of a request that is passed on. */
export const maximumRelayBodyBytes = 8_388_608;

export type RelayRefusal = keyof typeof relayRefusalStatuses;

/** Largest header of the hop: callers' headers of 64 KB, a third more in base64, and the rest of the head. */
export const maximumRelayHeaderBytes = 131_072;

/** The parts of a request that are passed on besides its body, and the upstream that gets it. */
export type RelayHead = Omit<OutgoingRequest, 'body' | 'fingerprint' | 'onLateEnd'> & {
	readonly upstream: UpstreamId;
	/** Undefined if the other instance doesn't send it, and for health checks. */
	readonly fingerprint?: Fingerprint | undefined;
};

export type RelayResult = Result<Omit<AnswerParts, 'body'>, ExchangeFailure>;

// eslint-disable-next-line no-control-regex -- control characters would end the header line or the request
const headerText = v.pipe(v.string(), v.regex(/^[^\u0000-\u0008\u000A-\u001F\u007F]*$/, 'control character'));
const token = v.pipe(v.string(), v.regex(/^[\w!#$%&'*+.^`|~-]+$/, 'not a token'));
const target = v.pipe(v.string(), v.regex(/^\/[\u0021-\u007E\u0080-\u00FF]*$/, 'not a path'));
const headers = v.pipe(v.array(headerText), v.check(list => list.length % 2 === 0, 'headers without values'));

const headSchema = v.object({
	upstream: v.pipe(v.string(), v.minLength(1)),
	method: token,
	target,
	headers,
	requestId: v.optional(v.string()),
	fingerprint: v.optional(v.pipe(v.string(), v.regex(fingerprintPattern))),
	timeoutMs: v.pipe(v.number(), v.gtValue(0)),
});

const resultSchema = v.variant('type', [
	v.object({type: v.literal('answered'), status: v.pipe(v.number(), v.integer()), headers: v.array(v.string())}),
	v.object({type: v.literal('not-connected'), message: v.string(), isTimeout: v.boolean()}),
	v.object({type: v.literal('broken'), message: v.string()}),
	v.object({type: v.literal('malformed'), message: v.string()}),
	v.object({type: v.literal('answer-outgrown')}),
	v.object({type: v.literal('timed-out')}),
	v.object({type: v.literal('cancelled')}),
]);

export function encodeHead(head: RelayHead): string {
	return encode(head);
}

export function decodeHead(text: string): Result<RelayHead, string> {
	return decode(text).andThen(json => {
		const parsed = v.safeParse(headSchema, json);
		return parsed.success
			? ok({
				...parsed.output,
				upstream: parsed.output.upstream as UpstreamId,
				requestId: parsed.output.requestId,
				fingerprint: parsed.output.fingerprint as Fingerprint | undefined,
			})
			: err(parsed.issues[0].message);
	});
}

export function encodeResult(result: RelayResult): string {
	return encode(result.match(({status, headers}) => ({type: 'answered', status, headers}), failure => failure));
}

export function decodeResult(text: string): Result<RelayResult, string> {
	return decode(text).andThen(json => {
		const parsed = v.safeParse(resultSchema, json);
		if (!parsed.success) {
			return err(parsed.issues[0].message);
		}

		const {output} = parsed;
		return ok(output.type === 'answered' ? ok({status: output.status, headers: output.headers}) : err(output));
	});
}

function encode(value: unknown): string {
	return Buffer.from(JSON.stringify(value)).toString('base64url');
}

function decode(text: string): Result<unknown, string> {
	try {
		return ok(JSON.parse(Buffer.from(text, 'base64url').toString()));
	} catch (error) {
		return err((error as Error).message);
	}
}
