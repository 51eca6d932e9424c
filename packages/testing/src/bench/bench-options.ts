/** Command-line options of the bench. */
import {z} from 'zod';

export const scenarioNames = ['steady', 'swing', 'straggler', 'drain', 'cold-start', 'fail-fast', 'overload'] as const;
export const workloadNames = ['foundation', 'authority'] as const;

export type ScenarioName = typeof scenarioNames[number];
export type WorkloadName = typeof workloadNames[number];

const commaSeparated = z.string().transform(text => text.split(','));

export const benchOptionsSchema = z.object({
	workload: commaSeparated.pipe(z.array(z.enum(workloadNames))).default(['foundation']),
	scenario: commaSeparated.pipe(z.array(z.enum(scenarioNames))).default(['steady']),
	policies: commaSeparated.optional(),
	/** Length of the measured part of each run. */
	seconds: z.coerce.number().min(1).max(120).default(4),
	seed: z.coerce.number().int().default(1),
	repeats: z.coerce.number().int().min(1).max(50).default(1),
	/** Daemons in place of the workload's own number. */
	daemons: z.coerce.number().int().min(1).max(40).optional(),
	/** Offered load as a ratio of the upstreams' capacity. */
	load: z.coerce.number().min(0.01).max(2).default(0.7),
	/** Mean service time of a request at an upstream. */
	serviceMs: z.coerce.number().min(5).max(1000).default(50),
	/** File to which the results are also written, as JSON. */
	output: z.string().optional(),
});

export type BenchOptions = z.infer<typeof benchOptionsSchema>;
