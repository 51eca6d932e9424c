/** Headers between an attempt and its upstream. */
import {headerNames} from '@cairnbank/protocol/headers';
import type {TraceHeaders} from '../../tracing/call-trace.js';
import type {Call} from './call.js';

/** The call's headers with what is left of its deadline and the hop's trace context. */
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

/** A name or a value as the library hands it on. */
export type HeaderBytes = {toString(encoding: 'latin1'): string};

/** An answer's headers as text, names and values in turn. */
export function toRawHeaders(rawHeaders: readonly HeaderBytes[]): string[] {
	return rawHeaders.map(part => part.toString('latin1'));
}
