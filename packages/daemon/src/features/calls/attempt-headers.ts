/** Headers between an attempt and its upstream. */
import {Buffer} from 'node:buffer';
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

/** An answer's headers as text, names and values in turn. */
export function toRawHeaders(rawHeaders: readonly Uint8Array[]): string[] {
	return rawHeaders.map(part => Buffer.from(part.buffer, part.byteOffset, part.length).toString('latin1'));
}
