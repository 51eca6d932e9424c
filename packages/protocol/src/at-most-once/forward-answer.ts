/** What the owner of a ticket or key answers to a forwarded call. */
import {incarnationIdSchema} from '@cairnbank/core';
import {z} from 'zod';
import {outcomeMessageSchema} from './outcome-message.js';

export const forwardAnswerSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('ended'), outcome: outcomeMessageSchema}),
	/** The table was handed over; its new holder decides. */
	z.object({type: z.literal('moved'), successor: incarnationIdSchema}),
	/** No table of this owner is held here. */
	z.object({type: z.literal('not-owner')}),
]);

export type ForwardAnswer = z.infer<typeof forwardAnswerSchema>;
