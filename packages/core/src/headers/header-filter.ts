/** Selects the headers that are forwarded from one connection to another (RFC 9110, section 7.6.1). */

/** Header names and values alternate, in the order and spelling in which they were received. */
type RawHeaders = readonly string[];

/** Headers that apply to a single connection. `Content-Length` is among them because it is set again for a fully buffered body. */
const hopByHopHeaders = [
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

/** Values of `Connection` that name no header, or one that is always removed. */
const commonConnectionValues = new Set(['keep-alive', 'close']);

/** Handling of a header: kept unchanged, dropped, or read as the list of further headers to drop. */
type HeaderAction = 'keep' | 'drop' | 'connection';

/** Limit of the cache by header name, as names repeat from call to call. Further spellings are classified each time. */
const maximumCachedNames = 1024;

/** Removes hop-by-hop headers and keeps the order and spelling of the others. */
export class HeaderFilter {
	readonly #dropped: ReadonlySet<string>;
	readonly #actionByName = new Map<string, HeaderAction>();

	/** @param additional - lower-case names of further headers to remove */
	constructor(additional: Iterable<string> = []) {
		this.#dropped = new Set([...hopByHopHeaders, ...additional]);
	}

	apply(headers: RawHeaders): string[] {
		const kept: string[] = [];
		let listedNames: Set<string> | undefined;
		for (let index = 0; index + 1 < headers.length; index += 2) {
			const name = headers[index]!;
			const action = this.#actionFor(name);
			if (action === 'keep') {
				kept.push(name, headers[index + 1]!);
			} else if (action === 'connection') {
				listedNames = addListedNames(headers[index + 1]!, listedNames);
			}
		}

		return listedNames === undefined ? kept : removeListedHeaders(kept, listedNames);
	}

	#actionFor(name: string): HeaderAction {
		const cached = this.#actionByName.get(name);
		if (cached !== undefined) {
			return cached;
		}

		const action = this.#classify(name.toLowerCase());
		if (this.#actionByName.size < maximumCachedNames) {
			this.#actionByName.set(name, action);
		}

		return action;
	}

	#classify(lowerCaseName: string): HeaderAction {
		if (lowerCaseName === 'connection') {
			return 'connection';
		}

		return this.#dropped.has(lowerCaseName) ? 'drop' : 'keep';
	}
}

function addListedNames(value: string, listedNames: Set<string> | undefined): Set<string> | undefined {
	if (commonConnectionValues.has(value)) {
		return listedNames;
	}

	return new Set([...listedNames ?? [], ...value.split(',').map(name => name.trim().toLowerCase())]);
}

function removeListedHeaders(headers: RawHeaders, listedNames: ReadonlySet<string>): string[] {
	return headers.filter((_, index) => !listedNames.has(headers[index - (index % 2)]!.toLowerCase()));
}
