/** Branded identifier types for all packages. The type system prevents the use of one kind of identifier as another. */
import {z} from 'zod';

const maximumIdLength = 128;

const idSchema = z.string().min(1).max(maximumIdLength).regex(/^[\w.:-]+$/, 'use letters, digits, "_", ".", ":" and "-"');

/** Name of a service, which is the first segment of a caller's path. */
export const serviceIdSchema = idSchema.brand<'ServiceId'>();
export type ServiceId = z.infer<typeof serviceIdSchema>;

/** Name of an upstream, unique across all services of an inventory. */
export const upstreamIdSchema = idSchema.brand<'UpstreamId'>();
export type UpstreamId = z.infer<typeof upstreamIdSchema>;

/** Name of an entry instance. It stays the same after a restart or a replacement of the instance. */
export const instanceIdSchema = idSchema.brand<'InstanceId'>();
export type InstanceId = z.infer<typeof instanceIdSchema>;

/** Generated randomly at each process start, to distinguish successive processes at the same address. */
export const incarnationIdSchema = idSchema.brand<'IncarnationId'>();
export type IncarnationId = z.infer<typeof incarnationIdSchema>;

/** Name of an availability zone. */
export const availabilityZoneIdSchema = idSchema.brand<'AvailabilityZoneId'>();
export type AvailabilityZoneId = z.infer<typeof availabilityZoneIdSchema>;

/** Name of a tenant, taken from the caller's request. */
export const tenantIdSchema = idSchema.brand<'TenantId'>();
export type TenantId = z.infer<typeof tenantIdSchema>;

/** Name of a client account of the operators' configuration. */
export const clientAccountIdSchema = idSchema.brand<'ClientAccountId'>();
export type ClientAccountId = z.infer<typeof clientAccountIdSchema>;

/** Name of a request class in the rules. */
export const requestClassIdSchema = idSchema.brand<'RequestClassId'>();
export type RequestClassId = z.infer<typeof requestClassIdSchema>;

/** Unique id of a log record. The author generates it before the append. */
export const recordIdSchema = idSchema.brand<'RecordId'>();
export type RecordId = z.infer<typeof recordIdSchema>;

/** Name of an operator, given on the command line. */
export const authorSchema = z.string().min(1).max(maximumIdLength).brand<'Author'>();
export type Author = z.infer<typeof authorSchema>;
