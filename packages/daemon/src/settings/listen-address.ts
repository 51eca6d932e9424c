/** The IP address and port that a listener binds to. */
import {isIP} from 'node:net';
import {addressSchema} from '@cairnbank/core';
import {z} from 'zod';

const maximumPort = 65_535;

export const listenAddressSchema = z.strictObject({
	host: z.string().refine(host => isIP(host) !== 0, 'expected an IP address').default('127.0.0.1'),
	/** 0 lets the operating system choose a free port. */
	port: z.int().min(0).max(maximumPort),
	/** `IP:port` that others are given instead of the bound address, if the two differ. */
	advertisedAddress: addressSchema.optional(),
});

export type ListenAddress = z.infer<typeof listenAddressSchema>;
