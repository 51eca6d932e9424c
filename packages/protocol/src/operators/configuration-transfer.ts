/** A whole configuration on its way to the command line, with the hash that proves it. */
import {z} from 'zod';

export const configurationTransferSchema = z.object({
	throughOffset: z.int().min(0),
	hash: z.string(),
	/** Left unparsed until its hash is checked. */
	state: z.unknown(),
});

export type ConfigurationTransfer = z.infer<typeof configurationTransferSchema>;
