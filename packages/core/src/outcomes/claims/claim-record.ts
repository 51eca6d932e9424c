/** Record of the claims stream: one append may claim many keys. */
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
	/** The process that may run the requests, and alone may, where its claim is the first. */
	owner: incarnationIdSchema,
	claims: z.array(claimSchema).min(1),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
