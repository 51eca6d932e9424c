/** The fields of an instance's status that are polled while a change takes effect. */
import {type z} from 'zod';
import {instanceStatusSchema} from './instance-status.js';

export const instanceBriefSchema = instanceStatusSchema.pick({
	id: true, incarnation: true, availabilityZone: true, state: true, configuration: true,
});

export type InstanceBrief = z.infer<typeof instanceBriefSchema>;
