/** A configuration change that an operator publishes. */
import {z} from 'zod';
import {drainChangeSchema} from './drain-change.js';
import {inventorySchema} from './inventory.js';
import {rulesSchema} from './rules.js';

export const changeSchema = z.discriminatedUnion('kind', [inventorySchema, rulesSchema, drainChangeSchema]);

export type Change = z.infer<typeof changeSchema>;
