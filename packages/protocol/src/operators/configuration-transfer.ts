/** A whole configuration sent to the command line or to another daemon, with the hash to verify it. */
import {z} from 'zod';

export const configurationTransferSchema = z.object({
	throughOffset: z.int().min(0),
	hash: z.string(),
	/** Parsed only after its hash is verified. */
	state: z.unknown(),
});

export type ConfigurationTransfer = z.infer<typeof configurationTransferSchema>;
