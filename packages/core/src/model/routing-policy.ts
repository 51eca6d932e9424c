/** The policies for choosing an upstream. The rules set one policy per service. */
import {z} from 'zod';

/** Time after which the weight of a load report is halved. */
const halfLifeMs = z.number().min(1).max(60_000).default(20);

export const routingPolicySchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('random')}),
	z.strictObject({type: z.literal('round-robin')}),
	z.strictObject({type: z.literal('least-in-flight')}),
	z.strictObject({type: z.literal('two-choices')}),
	z.strictObject({type: z.literal('two-choices-aged'), halfLifeMs}),
	z.strictObject({
		type: z.literal('hot-cold'),
		/** Quantile of the requests in flight above which a probed upstream is considered hot. */
		hotQuantile: z.number().min(0).max(1).default(0.8),
		poolSize: z.int().min(2).max(64).default(16),
		maximumAgeMs: z.number().min(1).default(1000),
	}),
	z.strictObject({
		type: z.literal('home-subset'),
		/** Number of instances that have the same upstream in their home subset. */
		instancesPerUpstream: z.int().min(1).max(64).default(3),
		halfLifeMs,
	}),
	z.strictObject({
		type: z.literal('home-least-latency'),
		/** Number of instances that have the same upstream in their home subset. */
		instancesPerUpstream: z.int().min(1).max(64).default(4),
		halfLifeMs,
	}),
	z.strictObject({
		type: z.literal('least-expected-latency'),
		halfLifeMs,
		/** Number of upstreams that are compared per request. */
		comparedUpstreams: z.int().min(2).max(256).default(32),
	}),
]);

export type RoutingPolicy = z.infer<typeof routingPolicySchema>;
