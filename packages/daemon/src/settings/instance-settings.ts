/** Who this instance is. */
import {availabilityZoneIdSchema, instanceIdSchema} from '@cairnbank/core';
import {z} from 'zod';

export const instanceSettingsSchema = z.strictObject({
	id: instanceIdSchema,
	availabilityZone: availabilityZoneIdSchema,
});
