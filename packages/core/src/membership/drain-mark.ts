/** Versioned mark of an upstream as draining or not. Every daemon merges marks in the same way. */
import {z} from 'zod';
import {upstreamIdSchema} from '../model/ids.js';

export const drainSources = ['answer', 'instance-list', 'operator'] as const;

export type DrainSource = typeof drainSources[number];

export const drainMarkSchema = z.object({
	upstream: upstreamIdSchema,
	/** One more than the version known to the daemon that made the mark. */
	version: z.int().min(1),
	draining: z.boolean(),
	/** Source of the observation that led to this mark. */
	source: z.enum(drainSources),
	/** Configuration offset in force at the daemon that made the mark: an operator's undrain clears only marks with lower offsets. */
	configurationOffset: z.int().min(0),
});

export type DrainMark = z.infer<typeof drainMarkSchema>;

function rank(mark: DrainMark): readonly number[] {
	return [mark.version, mark.draining ? 1 : 0, mark.configurationOffset, drainSources.indexOf(mark.source)];
}

/**
 * Returns the mark that takes precedence: the one with the higher version, or at the same version the draining one.
 * The remaining fields only break ties, so that the result does not depend on the order of merging.
 */
export function mergeMarks(left: DrainMark, right: DrainMark): DrainMark {
	const [leftRank, rightRank] = [rank(left), rank(right)];
	const differingIndex = leftRank.findIndex((value, index) => value !== rightRank[index]);
	return differingIndex === -1 || leftRank[differingIndex]! > rightRank[differingIndex]! ? left : right;
}
