/** Answer of a ticket's or key's owner to a forwarded call. */
import {incarnationIdSchema} from '@cairnbank/core';
import {z} from 'zod';
import {outcomeMessageSchema} from './outcome-message.js';

export const forwardAnswerSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('ended'), outcome: outcomeMessageSchema}),
	/** The table was handed over; the call must be forwarded to the successor. */
	z.object({type: z.literal('moved'), successor: incarnationIdSchema}),
	/** The answering process has no table of this owner. */
	z.object({type: z.literal('not-owner')}),
]);

export type ForwardAnswer = z.infer<typeof forwardAnswerSchema>;
