/** Settings of the address answers that callers get. */
import {z} from 'zod';

export const addressSettingsSchema = z.strictObject({
	/** Time for which callers may cache an address answer. */
	ttlMs: z.int().min(0).max(600_000).default(5000),
	/** Maximum number of addresses in one answer. Callers use the first one, and the others if it fails. */
	maximumAddresses: z.int().min(1).max(64).default(4),
});

export type AddressSettings = z.infer<typeof addressSettingsSchema>;
