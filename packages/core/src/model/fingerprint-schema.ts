/** The form in which instances hand fingerprints of requests to each other. */
import {z} from 'zod';

/** 128 bits of SHA-256 in base64url. */
export const fingerprintSchema = z.string().regex(/^[\w-]{22}$/).brand<'Fingerprint'>();
export type Fingerprint = z.infer<typeof fingerprintSchema>;
