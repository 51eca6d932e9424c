/** Faults of an upstream stand-in that tests can set while it runs. */
import {z} from 'zod';

const durationMs = z.number().min(0).max(600_000);

export const noisyNeighbourSchema = z.strictObject({
	seed: z.int(),
	/** Shortest and longest duration of a phase. */
	minimumMs: durationMs.default(10),
	maximumMs: durationMs.default(100),
	/** Share of phases in which the neighbour is active, and the number of slots that it then occupies. */
	hotRatio: z.number().min(0).max(1).default(0.2),
	hotSlots: z.int().min(1).default(2),
});

export type NoisyNeighbourOptions = z.infer<typeof noisyNeighbourSchema>;

export const upstreamFaultsSchema = z.strictObject({
	/** Limits the faults to requests with this header; they apply to all requests if absent. */
	onlyWithHeader: z.string().optional(),
	/** Multiplies the service time, to simulate a straggler. */
	serviceFactor: z.number().min(0).default(1),
	/** Answers every request immediately with status 500; the request counts as run. */
	failFast: z.boolean().default(false),
	/** A request with this header crashes the upstream when it starts to run. */
	crashHeader: z.string().optional(),
	/** Time for which the upstream refuses connections after a crash. */
	crashDownMs: durationMs.default(1000),
	/** Accepts connections but processes nothing until this is unset. */
	frozen: z.boolean().default(false),
	/** Refuses connections. */
	refusing: z.boolean().default(false),
	/** Sends half of the answer and resets the connection. */
	truncate: z.boolean().default(false),
	/** Number of chunks in which the answer is sent, with a gap after each; 0 sends it at once. */
	chunks: z.int().min(0).default(0),
	chunkGapMs: durationMs.default(20),
	/** Reported load in place of the actual one. */
	reportedUtilization: z.number().min(0).optional(),
	/** Reported health in place of the actual one. */
	reportedHealthy: z.boolean().optional(),
	/** Multiplies the service time by `factor` at first, and by less until it is normal after `durationMs`. */
	coldStart: z.strictObject({factor: z.number().min(1), durationMs}).optional(),
	/** Delay of the answer after the work has ended and its slot is free. */
	lateMs: durationMs.default(0),
	/** Size of the padding in the answer, in bytes. */
	answerBytes: z.int().min(0).default(0),
	/** Adds the draining header to answers; requests are still processed. */
	draining: z.boolean().default(false),
	/** Load of a noisy neighbour in phases of milliseconds. */
	swing: noisyNeighbourSchema.optional(),
});

export type UpstreamFaults = z.infer<typeof upstreamFaultsSchema>;
export type UpstreamFaultsPatch = Partial<z.input<typeof upstreamFaultsSchema>>;

export const noFaults: UpstreamFaults = upstreamFaultsSchema.parse({});
