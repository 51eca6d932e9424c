/** A request that was in flight when an upstream crashed, in the form that instances hand to each other. */
import {z} from 'zod';
import {instanceIdSchema, upstreamIdSchema} from '../model/ids.js';
import {fingerprintSchema} from '../model/fingerprint-schema.js';
import {maximumCrashesPerSuspect} from './maximum-crashes-per-suspect.js';

/** Calendar milliseconds since 1970. */
const epochMs = z.number().int().min(0);

/** One instance's report that an upstream crashed while it ran the request. */
export const crashSchema = z.strictObject({
	upstream: upstreamIdSchema,
	atMs: epochMs,
});

/** The one run of a suspect that is under way, or the last one. */
export const trialSchema = z.strictObject({
	instance: instanceIdSchema,
	upstream: upstreamIdSchema,
	startedAtMs: epochMs,
	/** Its end, or the time after which it is taken for lost. */
	untilMs: epochMs,
});

/** Joins by {@link mergeSuspects}; about 250 bytes as JSON. */
export const suspectSchema = z.strictObject({
	fingerprint: fingerprintSchema,
	crashes: z.array(crashSchema).max(maximumCrashesPerSuspect),
	/** Latest time at which a run ended well; crashes up to then don't count. 0 before the first. */
	clearedAtMs: epochMs,
	trial: trialSchema.optional(),
});

export type Crash = z.infer<typeof crashSchema>;
export type Trial = z.infer<typeof trialSchema>;
export type Suspect = z.infer<typeof suspectSchema>;
