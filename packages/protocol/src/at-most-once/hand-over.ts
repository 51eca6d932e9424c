/**
 * Hand-over of the tables of a stopping process to exactly one successor.
 *
 * Entries come in parts; nothing counts until the commit, which says how many parts there were. A hand-over that was
 * not committed changed nothing, so another successor may be tried; once a commit was sent, none may.
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
	/** The successor, lest another process at its address takes the tables. */
	to: incarnationIdSchema,
	index: z.int().min(0),
	/** The table that the entries belong to: one that the stopping process made or took over itself. */
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
