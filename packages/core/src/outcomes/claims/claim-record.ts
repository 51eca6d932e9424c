/** A record in the claims stream. One record may claim many keys. */
import {z} from 'zod';
import {incarnationIdSchema, recordIdSchema} from '../../model/ids.js';
import {fingerprintSchema} from '../../model/fingerprint-schema.js';
import {idempotencyKeySchema} from './idempotency-key.js';

export const claimSchema = z.object({
	key: idempotencyKeySchema,
	fingerprint: fingerprintSchema,
});
export type Claim = z.infer<typeof claimSchema>;

export const claimRecordSchema = z.object({
	type: z.literal('claims'),
	id: recordIdSchema,
	/** The only process that may run a request if its claim of the key is the first. */
	owner: incarnationIdSchema,
	claims: z.array(claimSchema).min(1),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
