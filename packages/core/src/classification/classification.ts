/** Result of matching a request against the rules. */
import type {RequestClass} from '../model/request-class.js';

export type Classification = {
	readonly requestClass: RequestClass;
	/** Taken from the class, or from the method where the class doesn't specify it. */
	readonly idempotent: boolean;
};
