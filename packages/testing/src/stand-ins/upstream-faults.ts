/** What can be wrong with an upstream, switchable while it runs. */
import {z} from 'zod';

const durationMs = z.number().min(0).max(600_000);

export const noisyNeighbourSchema = z.strictObject({
	seed: z.int(),
	/** Each spell lasts between these two. */
	minimumMs: durationMs.default(10),
	maximumMs: durationMs.default(100),
	/** Share of spells in which the neighbour works, and the slots that it then holds. */
	hotRatio: z.number().min(0).max(1).default(0.2),
	hotSlots: z.int().min(1).default(2),
});

export type NoisyNeighbourOptions = z.infer<typeof noisyNeighbourSchema>;

export const upstreamFaultsSchema = z.strictObject({
	/** The faults apply only to requests with this header; absent means to all. */
	onlyWithHeader: z.string().optional(),
	/** A straggler's work takes this many times as long. */
	serviceFactor: z.number().min(0).default(1),
	/** Every request is answered 500 at once; it counts as a run. */
	failFast: z.boolean().default(false),
	/** A request with this header crashes the upstream as it begins to run. */
	crashHeader: z.string().optional(),
	/** Time for which connections are refused after a crash. */
	crashDownMs: durationMs.default(1000),
	/** Connections are taken and nothing moves until thawed. */
	frozen: z.boolean().default(false),
	/** Connections are refused. */
	refusing: z.boolean().default(false),
	/** The answer breaks off midway: its connection is reset. */
	truncate: z.boolean().default(false),
	/** The answer comes in this many chunks with a gap between; 0 sends it whole. */
	chunks: z.int().min(0).default(0),
	chunkGapMs: durationMs.default(20),
	/** Load that is reported in place of the true one. */
	reportedUtilization: z.number().min(0).optional(),
	/** Health that is reported in place of the true one. */
	reportedHealthy: z.boolean().optional(),
	/** Work takes `factor` times as long at first, falling to once over `durationMs`. */
	coldStart: z.strictObject({factor: z.number().min(1), durationMs}).optional(),
	/** The work is done and its slot free, but the answer leaves this much later. */
	lateMs: durationMs.default(0),
	/** Size of the answer's padding. */
	answerBytes: z.int().min(0).default(0),
	/** Answers carry the drain mark; work is still done. */
	draining: z.boolean().default(false),
	/** A noisy neighbour's load in spells of milliseconds. */
	swing: noisyNeighbourSchema.optional(),
});

export type UpstreamFaults = z.infer<typeof upstreamFaultsSchema>;
export type UpstreamFaultsPatch = Partial<z.input<typeof upstreamFaultsSchema>>;

export const noFaults: UpstreamFaults = upstreamFaultsSchema.parse({});
