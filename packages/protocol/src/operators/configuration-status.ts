/** The configuration that an instance has in force. */
import {z} from 'zod';

export const configurationStatusSchema = z.object({
	/** Offset of the last log record that was applied. */
	throughOffset: z.int().min(0),
	/** Offset of the last accepted change that is in force; 0 before the first. */
	acceptedOffset: z.int().min(0),
	/** Hash of the whole state; equal on all instances with the same offset. */
	hash: z.string(),
});

export type ConfigurationStatus = z.infer<typeof configurationStatusSchema>;
