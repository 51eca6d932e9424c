/** Shared secrets. Two are accepted during a rotation. */
import {z} from 'zod';

const minimumSecretLength = 16;
const maximumSecrets = 2;

/** All are accepted; the first is the one that is sent. */
export const secretsSchema = z.array(z.string().min(minimumSecretLength)).min(1).max(maximumSecrets);

export type Secrets = z.infer<typeof secretsSchema>;
