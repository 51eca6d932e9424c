/** Which headers are passed on from one connection to another (RFC 9110, 7.6.1). */

/** Header names and values by turns, as they came. */
type RawHeaders = readonly string[];

/** Headers that concern one connection only; the length is set anew for a body that is held whole. */
const perConnection = [
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
] as const;

/** Tokens of `Connection` that name no header, or one that is never passed on anyway. */
const ordinaryConnection = new Set(['keep-alive', 'close']);

/** What a name tells of its header: kept as it came, dropped, or the list of further dropped ones. */
type Treatment = 'keep' | 'drop' | 'connection';

/** Names repeat from call to call; spellings beyond this are worked out each time. */
const maximumRememberedNames = 1024;

/** Keeps headers in the order and the spelling in which they came. */
export class HeaderFilter {
	readonly #dropped: ReadonlySet<string>;
	readonly #remembered = new Map<string, Treatment>();

	/** @param further - names in lower case that are left out too */
	constructor(further: Iterable<string> = []) {
		this.#dropped = new Set([...perConnection, ...further]);
	}

	apply(headers: RawHeaders): string[] {
		const kept: string[] = [];
		let named: Set<string> | undefined;
		for (let index = 0; index + 1 < headers.length; index += 2) {
			const name = headers[index]!;
			const treatment = this.#treatmentOf(name);
			if (treatment === 'keep') {
				kept.push(name, headers[index + 1]!);
			} else if (treatment === 'connection') {
				named = addNamed(headers[index + 1]!, named);
			}
		}

		return named === undefined ? kept : withoutNamed(kept, named);
	}

	#treatmentOf(name: string): Treatment {
		const known = this.#remembered.get(name);
		if (known !== undefined) {
			return known;
		}

		const treatment = this.#workOut(name.toLowerCase());
		if (this.#remembered.size < maximumRememberedNames) {
			this.#remembered.set(name, treatment);
		}

		return treatment;
	}

	#workOut(lowerCase: string): Treatment {
		if (lowerCase === 'connection') {
			return 'connection';
		}

		return this.#dropped.has(lowerCase) ? 'drop' : 'keep';
	}
}

function addNamed(value: string, named: Set<string> | undefined): Set<string> | undefined {
	if (ordinaryConnection.has(value)) {
		return named;
	}

	return new Set([...named ?? [], ...value.split(',').map(name => name.trim().toLowerCase())]);
}

function withoutNamed(headers: RawHeaders, named: ReadonlySet<string>): string[] {
	return headers.filter((_, index) => !named.has(headers[index - (index % 2)]!.toLowerCase()));
}
