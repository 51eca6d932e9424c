/** A class of requests: which requests belong to it and how they are treated. */
import {z} from 'zod';
import {requestClassIdSchema, serviceIdSchema} from './ids.js';

/** Which requests a class takes; an absent field takes all. */
export const requestMatchSchema = z.strictObject({
	service: serviceIdSchema.optional(),
	methods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).min(1).optional(),
	pathPrefix: z.string().startsWith('/').optional(),
});

export const requestClassSchema = z.strictObject({
	id: requestClassIdSchema,
	match: requestMatchSchema,
	/** 0 comes first. */
	priority: z.int().min(0).max(9).default(5),
	/** Absent: GET, HEAD and OPTIONS are idempotent, all else is not. */
	idempotent: z.boolean().optional(),
	/** Applies where the caller sends no deadline, and caps the one that it sends. */
	deadlineMs: z.int().min(1).max(600_000).default(10_000),
	/** A second attempt of an idempotent request that is slow; absent means none. */
	hedging: z.strictObject({
		/** The hedge starts once the first attempt is slower than this quantile of recent answers. */
		quantile: z.number().min(0.5).max(0.999).default(0.95),
		/** Never earlier than this. */
		minimumDelayMs: z.number().min(0).default(5),
		/** Hedges as a share of first attempts. */
		budgetRatio: z.number().min(0).max(0.5).default(0.05),
	}).optional(),
});

export type RequestMatch = z.infer<typeof requestMatchSchema>;
export type RequestClass = z.infer<typeof requestClassSchema>;
