/** The operators' rules: request classes and settings per service. */
import {z} from 'zod';
import {requestClassSchema} from './request-class.js';
import {serviceRulesSchema} from './service-rules.js';

export const rulesSchema = z.strictObject({
	kind: z.literal('rules'),
	/** The first class that matches a request applies to it. */
	classes: z.array(requestClassSchema).max(1000).default([]),
	services: z.array(serviceRulesSchema).max(500).default([]),
});

export type Rules = z.infer<typeof rulesSchema>;

/** The rules that apply until an operator publishes others. */
export const defaultRules: Rules = rulesSchema.parse({kind: 'rules'});
