/** What is wrong with a piece of input, and where. */
import {type z} from 'zod';

export type ValidationFault = {
	/** Path of the faulty field, such as `services.0.upstreams.3.slots`. */
	readonly path: string;
	readonly message: string;
};

/** Every fault that a schema found; an unknown field is named at its own path. */
export function toValidationFaults(error: z.ZodError): ValidationFault[] {
	return error.issues.flatMap(issue => {
		if (issue.code === 'unrecognized_keys') {
			return issue.keys.map(key => ({path: toPath([...issue.path, key]), message: 'unknown field'}));
		}

		return [{path: toPath(issue.path), message: issue.message}];
	});
}

function toPath(path: readonly PropertyKey[]): string {
	return path.length === 0 ? '(root)' : path.map(String).join('.');
}
