/** Headers that callers and upstreams get from each other: all but those of one connection and those of the system itself. */
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

/** The headers that are passed on, in the order they came. */
export function endToEndHeaders(headers: RawHeaders): string[] {
	return filter.apply(headers);
}
