/** The operators' rules: request classes and the treatment of each service. */
import {z} from 'zod';
import {requestClassSchema} from './request-class.js';
import {serviceRulesSchema} from './service-rules.js';

export const rulesSchema = z.strictObject({
	kind: z.literal('rules'),
	/** The first class that matches a request applies. */
	classes: z.array(requestClassSchema).max(1000).default([]),
	services: z.array(serviceRulesSchema).max(500).default([]),
});

export type Rules = z.infer<typeof rulesSchema>;

/** What applies until operators publish rules. */
export const defaultRules: Rules = rulesSchema.parse({kind: 'rules'});
