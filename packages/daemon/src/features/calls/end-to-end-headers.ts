/** Headers that belong to one connection, or to the system itself, and are not passed on (RFC 9110, 7.6.1). */
import {headerNames} from '@cairnbank/protocol/headers';
import type {RawHeaders} from '@cairnbank/core/outcomes';

const hopByHop = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
	'host',
	'content-length',
	headerNames.deadlineMs,
	headerNames.ticket,
	headerNames.previousAttempts,
	'traceparent',
	'tracestate',
]);

function namedByConnection(headers: RawHeaders): Set<string> {
	const named = new Set<string>();
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() === 'connection') {
			for (const name of headers[index + 1]!.split(',')) {
				named.add(name.trim().toLowerCase());
			}
		}
	}

	return named;
}

/** The headers that are passed on, in the order they came. */
export function endToEndHeaders(headers: RawHeaders): string[] {
	const named = namedByConnection(headers);
	const kept: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!.toLowerCase();
		if (!hopByHop.has(name) && !named.has(name)) {
			kept.push(headers[index]!, headers[index + 1]!);
		}
	}

	return kept;
}
