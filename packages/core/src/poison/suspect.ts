/** A request that was in flight when an upstream crashed, in the form that instances exchange. */
import {z} from 'zod';
import {instanceIdSchema, upstreamIdSchema} from '../model/ids.js';
import {fingerprintSchema} from '../model/fingerprint-schema.js';
import {maximumCrashesPerSuspect} from './maximum-crashes-per-suspect.js';

/** Calendar time in milliseconds since 1970. */
const epochMs = z.number().int().min(0);

/** A report by one instance that an upstream crashed while the request was in flight there. */
export const crashSchema = z.strictObject({
	upstream: upstreamIdSchema,
	atMs: epochMs,
});

/** The current or the most recent trial run of a suspect. */
export const trialSchema = z.strictObject({
	instance: instanceIdSchema,
	upstream: upstreamIdSchema,
	startedAtMs: epochMs,
	/** The end of the trial, or the time after which it is considered lost. */
	untilMs: epochMs,
});

/** Records are merged with {@link mergeSuspects}. A record takes about 250 bytes as JSON. */
export const suspectSchema = z.strictObject({
	fingerprint: fingerprintSchema,
	crashes: z.array(crashSchema).max(maximumCrashesPerSuspect),
	/** Time of the latest successful run, or 0 if there was none. Crashes up to this time are not counted. */
	clearedAtMs: epochMs,
	trial: trialSchema.optional(),
});

export type Crash = z.infer<typeof crashSchema>;
export type Trial = z.infer<typeof trialSchema>;
export type Suspect = z.infer<typeof suspectSchema>;
