/** Where a listener binds: an IP number and a port, where port 0 lets the system choose one. */
import {isIP} from 'node:net';
import {addressSchema} from '@cairnbank/core';
import {z} from 'zod';

const maximumPort = 65_535;

export const listenAddressSchema = z.strictObject({
	host: z.string().refine(host => isIP(host) !== 0, 'expected an IP number').default('127.0.0.1'),
	/** 0 takes any free port. */
	port: z.int().min(0).max(maximumPort),
	/** `IP:port` told to others in place of the bound one, where the two differ. */
	advertisedAddress: addressSchema.optional(),
});

export type ListenAddress = z.infer<typeof listenAddressSchema>;
