/** Determines the request class of a request: the first class that matches applies. */
import {requestClassSchema, type RequestClass} from '../model/request-class.js';
import type {Rules} from '../model/rules.js';
import type {Classification} from './classification.js';

/** Methods that are idempotent where no rule says otherwise. PUT and DELETE are excluded: where idempotence is in doubt, a request counts as non-idempotent. */
const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Applies to requests that no class matches. */
const defaultClass: RequestClass = requestClassSchema.parse({id: 'default', match: {}});

type Candidate = {
	readonly requestClass: RequestClass;
	readonly methods: ReadonlySet<string> | undefined;
};

/** Matches requests against the classes of one version of the rules, with the candidate classes cached by service. */
export class Classifier {
	readonly #byService = new Map<string, Candidate[]>();
	readonly #candidates: Candidate[];

	constructor(rules: Rules) {
		this.#candidates = rules.classes.map(requestClass => ({
			requestClass,
			methods: requestClass.match.methods && new Set<string>(requestClass.match.methods),
		}));
	}

	/**
	 * Returns the class of a request and whether the request is idempotent.
	 *
	 * @param path - path at the upstream, without the service's segment; a query may follow
	 */
	classify(service: string, method: string, path: string): Classification {
		const found = this.#candidatesOf(service).find(candidate => matches(candidate, method, path));
		const requestClass = found?.requestClass ?? defaultClass;
		return {requestClass, idempotent: requestClass.idempotent ?? idempotentMethods.has(method)};
	}

	#candidatesOf(service: string): Candidate[] {
		let candidates = this.#byService.get(service);
		if (!candidates) {
			candidates = this.#candidates.filter(({requestClass}) => (requestClass.match.service ?? service) === service);
			this.#byService.set(service, candidates);
		}

		return candidates;
	}
}

function matches({requestClass, methods}: Candidate, method: string, path: string): boolean {
	const {pathPrefix} = requestClass.match;
	return (methods?.has(method) ?? true) && (pathPrefix === undefined || path.startsWith(pathPrefix));
}
