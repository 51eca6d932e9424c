/** Which headers go on to the other side. */
import type {RawHeaders} from '../upstreams/exchange.js';

/** Headers that concern one connection only; the length is set anew for a body that is held whole. */
const perConnection = new Set([
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
	'content-length',
]);

/** @param without - further names to leave out, in lower case */
export function forwardedHeaders(headers: RawHeaders, without: readonly string[] = []): string[] {
	const named = namedByConnection(headers);
	const kept: string[] = [];
	for (let index = 0; index + 1 < headers.length; index += 2) {
		const name = headers[index]!.toLowerCase();
		if (!perConnection.has(name) && !named.has(name) && !without.includes(name)) {
			kept.push(headers[index]!, headers[index + 1]!);
		}
	}

	return kept;
}

function namedByConnection(headers: RawHeaders): ReadonlySet<string> {
	const names = new Set<string>();
	for (let index = 0; index + 1 < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() === 'connection') {
			for (const name of headers[index + 1]!.split(',')) {
				names.add(name.trim().toLowerCase());
			}
		}
	}

	return names;
}
