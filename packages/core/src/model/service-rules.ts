/** Settings per service: routing policy, limits, retries and the cost of probes. */
import {z} from 'zod';
import {serviceIdSchema} from './ids.js';
import {routingPolicySchema} from './routing-policy.js';

export const retryRulesSchema = z.strictObject({
	/** Maximum ratio of retries to first attempts. */
	budgetRatio: z.number().min(0).max(1).default(0.1),
	maximumAttempts: z.int().min(1).max(5).default(3),
});

export const probeRulesSchema = z.strictObject({
	/** Number of probes per second that an upstream receives from all instances together. 0 disables probing. */
	perSecondPerUpstream: z.number().min(0).max(1000).default(1),
	/** Maximum share of an upstream's slot time that probes may use. */
	slotTimeRatio: z.number().min(0).max(1).default(0.01),
	/** Slot time that one probe uses on an upstream. */
	costMs: z.number().min(0).default(6),
	/** Maximum number of instances that probe at the same time. Each gets an equal share of the probe budget and of an upstream's connections. */
	maximumInstances: z.int().min(1).max(1000).default(40),
});

export const limitRulesSchema = z.strictObject({
	/** Maximum number of queued requests for this service per instance. */
	queueLength: z.int().min(0).max(100_000).default(200),
	/** Maximum time that a request waits in the queue. */
	queueWaitMs: z.int().min(0).max(60_000).default(500),
	/** Maximum share of the queue that one tenant may use while other tenants wait. */
	tenantRatio: z.number().min(0.01).max(1).default(0.5),
	/** Minimum share of the service's upstreams that stay available: below it, no more upstreams are ejected. */
	ejectionFloorRatio: z.number().min(0).max(1).default(0.5),
	/** Time in which a new upstream's share of requests increases to its full value. */
	slowStartMs: z.int().min(0).max(600_000).default(5000),
});

export const serviceRulesSchema = z.strictObject({
	service: serviceIdSchema,
	policy: routingPolicySchema.default({type: 'home-least-latency', instancesPerUpstream: 4, halfLifeMs: 20}),
	retries: retryRulesSchema.prefault({}),
	probes: probeRulesSchema.prefault({}),
	limits: limitRulesSchema.prefault({}),
	/** Whether upstreams in the instance's own availability zone are preferred while they have free capacity. */
	preferOwnAvailabilityZone: z.boolean().default(false),
});

export type RetryRules = z.infer<typeof retryRulesSchema>;
export type ProbeRules = z.infer<typeof probeRulesSchema>;
export type LimitRules = z.infer<typeof limitRulesSchema>;
export type ServiceRules = z.infer<typeof serviceRulesSchema>;
