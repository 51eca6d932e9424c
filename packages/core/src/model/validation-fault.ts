/** What is wrong with a piece of input, and where. */
import {type z} from 'zod';

export type ValidationFault = {
	/** Path of the faulty field, such as `services.0.upstreams.3.slots`. */
	readonly path: string;
	readonly message: string;
};

/** Every fault that a schema found. */
export function toValidationFaults(error: z.ZodError): ValidationFault[] {
	return error.issues.map(issue => ({
		path: issue.path.map(String).join('.'),
		message: issue.message,
	}));
}
