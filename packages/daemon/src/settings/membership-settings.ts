/** How a daemon finds and watches the others. */
import {addressSchema} from '@cairnbank/core';
import {drainMarkDefaults, membershipTimingSchema} from '@cairnbank/core/membership';
import {z} from 'zod';

const maximumSeeds = 64;

export const membershipSettingsSchema = z.strictObject({
	/** Peer addresses to try besides those of the platform's list, which may lag or miss some. */
	seeds: z.array(addressSchema).max(maximumSeeds).default([]),
	gossip: membershipTimingSchema.prefault({}),
	/** Longest wait for a peer's answer to a digest. */
	exchangeTimeoutMs: z.int().min(10).max(60_000).default(1000),
	/** What reading the platform's list may cost; a long list is read less often, and so it is in a large fleet. */
	listBytesPerSecond: z.int().min(100).default(2500),
	/** How long answers of an upstream must come without its drain mark before it gets new work again. */
	cleanForMs: z.int().min(0).default(drainMarkDefaults.cleanForMs),
	/** How many such answers at least. */
	cleanAnswers: z.int().min(1).default(drainMarkDefaults.cleanAnswers),
});

export type MembershipSettings = z.infer<typeof membershipSettingsSchema>;
