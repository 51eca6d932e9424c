/** What callers are told about addresses. */
import {z} from 'zod';

export const addressSettingsSchema = z.strictObject({
	/** How long callers may keep an address answer. */
	ttlMs: z.int().min(0).max(600_000).default(5000),
	/** Addresses in one answer; the first is the one to use, the others are for when it fails. */
	maximumAddresses: z.int().min(1).max(64).default(4),
});

export type AddressSettings = z.infer<typeof addressSettingsSchema>;
