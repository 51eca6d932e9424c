/** Converts the headers of the requests to and the answers from upstreams. */
import {headerNames} from '@cairnbank/protocol/headers';
import type {TraceHeaders} from '../../tracing/call-trace.js';
import type {Call} from './call.js';

/** Returns the call's headers together with the time that remains until its deadline and the trace context of the hop. */
export function requestHeaders(call: Call, remainingMs: number, {traceparent, tracestate}: TraceHeaders): string[] {
	const headers = [...call.headers, headerNames.deadlineMs, String(remainingMs)];
	if (traceparent !== undefined) {
		headers.push('traceparent', traceparent);
	}

	if (tracestate !== undefined) {
		headers.push('tracestate', tracestate);
	}

	return headers;
}

/** A header name or value in the form in which undici passes it on. */
export type HeaderBytes = {toString(encoding: 'latin1'): string};

/** Returns an answer's headers as text; names and values alternate. */
export function toRawHeaders(rawHeaders: readonly HeaderBytes[]): string[] {
	return rawHeaders.map(part => part.toString('latin1'));
}
