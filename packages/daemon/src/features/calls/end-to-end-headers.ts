/** Selects the headers that are forwarded between callers and upstreams: all except hop-by-hop headers and those that the daemon sets itself. */
import {HeaderFilter} from '@cairnbank/core/headers';
import type {RawHeaders} from '@cairnbank/core/outcomes';
import {headerNames} from '@cairnbank/protocol/headers';

const filter = new HeaderFilter([
	'host',
	headerNames.outcome,
	headerNames.deadlineMs,
	headerNames.ticket,
	headerNames.previousAttempts,
	'traceparent',
	'tracestate',
]);

/** Returns the headers to forward, in the order in which they were received. */
export function endToEndHeaders(headers: RawHeaders): string[] {
	return filter.apply(headers);
}
