/** Headers that belong to one connection, or to the system itself, and are not passed on (RFC 9110, 7.6.1). */
import {headerNames} from '@cairnbank/protocol/headers';
import type {RawHeaders} from '@cairnbank/core/outcomes';

const hopByHop = new Set([
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
	headerNames.outcome,
	headerNames.deadlineMs,
	headerNames.ticket,
	headerNames.previousAttempts,
	'traceparent',
	'tracestate',
]);

/** Tokens of `Connection` that name no header, or one that is never passed on anyway. */
const ordinaryConnection = new Set(['keep-alive', 'close']);

/** What a lower-case name tells of its header: kept as it came, dropped, or the list of further dropped ones. */
type Treatment = 'keep' | 'drop' | 'connection';

/** Names repeat from call to call; spellings beyond this are worked out each time. */
const maximumRememberedNames = 1024;
const remembered = new Map<string, Treatment>();

function workOut(name: string): Treatment {
	const lowerCase = name.toLowerCase();
	if (lowerCase === 'connection') {
		return 'connection';
	}

	return hopByHop.has(lowerCase) ? 'drop' : 'keep';
}

function treatmentOf(name: string): Treatment {
	const known = remembered.get(name);
	if (known !== undefined) {
		return known;
	}

	const treatment = workOut(name);
	if (remembered.size < maximumRememberedNames) {
		remembered.set(name, treatment);
	}

	return treatment;
}

function addNamed(value: string, named: Set<string> | undefined): Set<string> | undefined {
	if (ordinaryConnection.has(value)) {
		return named;
	}

	return new Set([...named ?? [], ...value.split(',').map(name => name.trim().toLowerCase())]);
}

function withoutNamed(headers: readonly string[], named: ReadonlySet<string>): string[] {
	return headers.filter((_, index) => !named.has(headers[index - (index % 2)]!.toLowerCase()));
}

/** The headers that are passed on, in the order they came. */
export function endToEndHeaders(headers: RawHeaders): string[] {
	const kept: string[] = [];
	let named: Set<string> | undefined;
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!;
		const treatment = treatmentOf(name);
		if (treatment === 'keep') {
			kept.push(name, headers[index + 1]!);
		} else if (treatment === 'connection') {
			named = addNamed(headers[index + 1]!, named);
		}
	}

	return named === undefined ? kept : withoutNamed(kept, named);
}
