/** Describes an invalid part of an input and its location. */
import {type z} from 'zod';

export type ValidationFault = {
	/** Path of the invalid field, such as `services.0.upstreams.3.slots`. */
	readonly path: string;
	readonly message: string;
};

/** Converts the errors of a schema. Unknown fields are reported individually, each with its own path. */
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
