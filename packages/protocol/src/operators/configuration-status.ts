/** Which configuration an instance has in force. */
import {z} from 'zod';

export const configurationStatusSchema = z.object({
	/** Offset through which the log was folded. */
	throughOffset: z.int().min(0),
	/** Offset of the last accepted change that is in force; 0 before the first. */
	acceptedOffset: z.int().min(0),
	/** Hash of the whole state; instances at one offset have the same. */
	hash: z.string(),
});

export type ConfigurationStatus = z.infer<typeof configurationStatusSchema>;
