/** The platform's instance list, which lags behind and may be wrong. */
import {z} from 'zod';
import {addressSchema} from '../model/address.js';
import {availabilityZoneIdSchema} from '../model/ids.js';

export const listedInstanceSchema = z.object({
	id: z.string().min(1),
	role: z.enum(['entry', 'upstream']),
	/** Address that callers use for an entry instance; service address of an upstream. */
	address: addressSchema,
	/** Peer address of an entry instance; absent if the platform does not provide it. */
	peerAddress: addressSchema.optional(),
	availabilityZone: availabilityZoneIdSchema,
	state: z.enum(['live', 'leaving']),
});

export const instanceListSchema = z.object({instances: z.array(listedInstanceSchema)});

export type ListedInstance = z.infer<typeof listedInstanceSchema>;
export type InstanceList = z.infer<typeof instanceListSchema>;
