/** Schema of shared secrets. Two may be given while a secret is rotated. */
import {z} from 'zod';

const minimumSecretLength = 16;
const maximumSecrets = 2;

/** All of the secrets are accepted; the first one is sent. */
export const secretsSchema = z.array(z.string().min(minimumSecretLength)).min(1).max(maximumSecrets);

export type Secrets = z.infer<typeof secretsSchema>;
