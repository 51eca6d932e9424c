/** A request class defines which requests belong to it and how they are handled. */
import {z} from 'zod';
import {requestClassIdSchema, serviceIdSchema} from './ids.js';

/** Conditions that a request must meet to belong to a class. An absent field matches all requests. */
export const requestMatchSchema = z.strictObject({
	service: serviceIdSchema.optional(),
	methods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).min(1).optional(),
	pathPrefix: z.string().startsWith('/').optional(),
});

export const requestClassSchema = z.strictObject({
	id: requestClassIdSchema,
	match: requestMatchSchema,
	/** 0 is the highest priority. */
	priority: z.int().min(0).max(9).default(5),
	/** If absent, GET, HEAD and OPTIONS requests are idempotent and all others are not. */
	idempotent: z.boolean().optional(),
	/** The deadline if the caller sends none, and the upper limit for the deadline that it sends. */
	deadlineMs: z.int().min(1).max(600_000).default(10_000),
	/** A second, parallel attempt of a slow idempotent request. If absent, requests are not hedged. */
	hedging: z.strictObject({
		/** The hedge starts when the first attempt takes longer than this quantile of recent response times. */
		quantile: z.number().min(0.5).max(0.999).default(0.95),
		/** Minimum delay before the hedge starts. */
		minimumDelayMs: z.number().min(0).default(5),
		/** Maximum ratio of hedges to first attempts. */
		budgetRatio: z.number().min(0).max(0.5).default(0.05),
	}).optional(),
});

export type RequestMatch = z.infer<typeof requestMatchSchema>;
export type RequestClass = z.infer<typeof requestClassSchema>;
