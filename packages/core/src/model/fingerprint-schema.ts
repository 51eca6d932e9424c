/** The format in which instances exchange request fingerprints. */
import {z} from 'zod';

/** The first 128 bits of a SHA-256 hash, encoded as base64url. */
export const fingerprintSchema = z.string().regex(/^[\w-]{22}$/).brand<'Fingerprint'>();
export type Fingerprint = z.infer<typeof fingerprintSchema>;
