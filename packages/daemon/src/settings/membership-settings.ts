/** Settings for discovering and monitoring the other daemons. */
import {addressSchema} from '@cairnbank/core';
import {drainMarkDefaults, membershipTimingSchema} from '@cairnbank/core/membership';
import {z} from 'zod';

const maximumSeeds = 64;

export const membershipSettingsSchema = z.strictObject({
	/** Peer addresses to try in addition to the platform's list, which may be outdated or incomplete. */
	seeds: z.array(addressSchema).max(maximumSeeds).default([]),
	gossip: membershipTimingSchema.prefault({}),
	/** Timeout of a peer's answer to a digest. */
	exchangeTimeoutMs: z.int().min(10).max(60_000).default(1000),
	/** Maximum bytes per second for reading the platform's list. A long list is read less often, and so is any list in a large fleet. */
	listBytesPerSecond: z.int().min(100).default(2500),
	/** Time for which answers of an upstream must come without the drain header before it gets new requests again. */
	cleanForMs: z.int().min(0).default(drainMarkDefaults.cleanForMs),
	/** Minimum number of such answers. */
	cleanAnswers: z.int().min(1).default(drainMarkDefaults.cleanAnswers),
});

export type MembershipSettings = z.infer<typeof membershipSettingsSchema>;
