/**
 * Hand-over of the tables of a stopping process to exactly one successor.
 *
 * Entries are sent in parts. They take effect only with the commit, which has the number of parts. A hand-over without a
 * commit has no effect, so another successor may be tried. Once a commit was sent, no other successor may be tried.
 */
import {incarnationIdSchema, fingerprintSchema} from '@cairnbank/core';
import {z} from 'zod';
import {outcomeMessageSchema} from './outcome-message.js';

export const handedOverEntrySchema = z.object({
	id: z.string(),
	fingerprint: fingerprintSchema,
	throughAttempt: z.int().min(0).optional(),
	outcome: outcomeMessageSchema,
	keepForMs: z.number(),
});

export type HandedOverEntryMessage = z.infer<typeof handedOverEntrySchema>;

export const handOverPartSchema = z.object({
	/** The stopping process. */
	from: incarnationIdSchema,
	/** The successor, so that another process at its address does not take the tables over. */
	to: incarnationIdSchema,
	index: z.int().min(0),
	/** The owner of the entries' table: the stopping process, or one whose table it had taken over. */
	owner: incarnationIdSchema,
	kind: z.enum(['ticket', 'key']),
	entries: z.array(handedOverEntrySchema),
});

export type HandOverPart = z.infer<typeof handOverPartSchema>;

export const ticketTableHeadSchema = z.object({
	owner: incarnationIdSchema,
	macKey: z.string(),
	nextSequence: z.int().min(0),
	ownerNowMs: z.number(),
	voidBelow: z.int().min(0),
	voided: z.array(z.int().min(0)),
});

export type TicketTableHead = z.infer<typeof ticketTableHeadSchema>;

export const handOverCommitSchema = z.object({
	from: incarnationIdSchema,
	to: incarnationIdSchema,
	parts: z.int().min(0),
	ticketTables: z.array(ticketTableHeadSchema).min(1),
	keyOwners: z.array(incarnationIdSchema),
});

export type HandOverCommit = z.infer<typeof handOverCommitSchema>;

export const handOverAnswerSchema = z.object({accepted: z.boolean()});

export type HandOverAnswer = z.infer<typeof handOverAnswerSchema>;
