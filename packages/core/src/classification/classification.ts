/** What the rules say about one request. */
import type {RequestClass} from '../model/request-class.js';

export type Classification = {
	readonly requestClass: RequestClass;
	/** Resolved from the class, or from the method where the class is silent. */
	readonly idempotent: boolean;
};
