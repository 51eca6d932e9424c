/** A complete request that an instance forwards to the process that owns its ticket or key. */
import {incarnationIdSchema, serviceIdSchema, tenantIdSchema} from '@cairnbank/core';
import {idempotencyKeySchema} from '@cairnbank/core/outcomes';
import {z} from 'zod';

export const callBindingSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('ticket'), ticket: z.string()}),
	z.object({type: z.literal('key'), key: idempotencyKeySchema}),
]);

export type CallBinding = z.infer<typeof callBindingSchema>;

export const forwardedCallSchema = z.object({
	/** The process that issued the ticket or owns the key, as far as the sender knows. */
	owner: incarnationIdSchema,
	binding: callBindingSchema,
	previousAttempts: z.int().min(0).optional(),
	service: serviceIdSchema,
	method: z.string(),
	path: z.string(),
	headers: z.array(z.string()),
	/** Base64; absent for a request without a body. */
	body: z.base64().optional(),
	tenant: tenantIdSchema,
	remainingMs: z.number().min(0),
	traceparent: z.string().optional(),
	tracestate: z.string().optional(),
});

export type ForwardedCall = z.infer<typeof forwardedCallSchema>;
