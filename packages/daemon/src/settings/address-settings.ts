/** What callers are told about addresses. */
import {z} from 'zod';

export const addressSettingsSchema = z.strictObject({
	/** How long callers may keep an address answer. */
	ttlMs: z.int().min(0).max(600_000).default(5000),
});

export type AddressSettings = z.infer<typeof addressSettingsSchema>;
