/** Shared secrets. Two are accepted during a rotation. */
import {z} from 'zod';

const shortestSecret = 16;
const acceptedSecrets = 2;

/** All are accepted; the first is the one that is sent. */
export const secretsSchema = z.array(z.string().min(shortestSecret)).min(1).max(acceptedSecrets);

export type Secrets = z.infer<typeof secretsSchema>;
