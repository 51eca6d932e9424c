/** The trace of a call that is not sampled: records nothing and forwards the caller's trace context unchanged. */
import type {CallTrace, HopSpan, TraceHeaders} from './call-trace.js';

const noHeaders: TraceHeaders = {traceparent: undefined, tracestate: undefined};

function end(): void {
	// Nothing is recorded.
}

function passThrough(headers: TraceHeaders): CallTrace {
	const hop: HopSpan = {headers, end};
	return {hop: () => hop, end};
}

const withoutContext = passThrough(noHeaders);

export function unsampledTrace(headers: TraceHeaders): CallTrace {
	return headers.traceparent === undefined ? withoutContext : passThrough(headers);
}
