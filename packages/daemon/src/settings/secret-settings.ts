/** Shared secrets between daemons and with operators. Two are accepted during a rotation. */
import {z} from 'zod';

const shortestSecret = 16;
const acceptedSecrets = 2;

/** The first is sent, all are accepted. */
const secretListSchema = z.array(z.string().min(shortestSecret)).min(1).max(acceptedSecrets);

export const secretSettingsSchema = z.strictObject({
	peer: secretListSchema,
	operator: secretListSchema,
});

export type SecretSettings = z.infer<typeof secretSettingsSchema>;
