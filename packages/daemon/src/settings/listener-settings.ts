/** The three ports of a daemon and the addresses under which others reach them. */
import {addressSchema} from '@cairnbank/core';
import {z} from 'zod';
import {listenAddressSchema} from './listen-address.js';

const listenerSchema = z.strictObject({
	listen: listenAddressSchema,
	/** Told to others in place of the bound address, where the two differ. */
	advertise: addressSchema.optional(),
});

export const listenerSettingsSchema = z.strictObject({
	/** For callers: the calls themselves, address answers and tickets. */
	caller: listenerSchema,
	/** For the other daemons. */
	peer: listenerSchema,
	/** For operators and the metrics collector; keep it on their network. */
	admin: listenerSchema,
});

export type ListenerSettings = z.infer<typeof listenerSettingsSchema>;
