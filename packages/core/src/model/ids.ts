/** Branded identifiers shared by every package: a plain string of one kind cannot stand in for another. */
import {z} from 'zod';

const maximumIdLength = 128;

const idText = z.string().min(1).max(maximumIdLength).regex(/^[\w.:-]+$/, 'use letters, digits, "_", ".", ":" and "-"');

/** Name of a service, as it appears in the first segment of a caller's path. */
export const serviceIdSchema = idText.brand<'ServiceId'>();
export type ServiceId = z.infer<typeof serviceIdSchema>;

/** Name of one upstream, unique over all services of an inventory. */
export const upstreamIdSchema = idText.brand<'UpstreamId'>();
export type UpstreamId = z.infer<typeof upstreamIdSchema>;

/** Name of an entry instance; it survives restarts and replacement. */
export const instanceIdSchema = idText.brand<'InstanceId'>();
export type InstanceId = z.infer<typeof instanceIdSchema>;

/** Random per process start, so that two lives at one address are told apart. */
export const incarnationIdSchema = idText.brand<'IncarnationId'>();
export type IncarnationId = z.infer<typeof incarnationIdSchema>;

/** Name of an availability zone. */
export const availabilityZoneIdSchema = idText.brand<'AvailabilityZoneId'>();
export type AvailabilityZoneId = z.infer<typeof availabilityZoneIdSchema>;

/** Name of a tenant, taken from the caller's request. */
export const tenantIdSchema = idText.brand<'TenantId'>();
export type TenantId = z.infer<typeof tenantIdSchema>;

/** Name of a request class in the rules. */
export const requestClassIdSchema = idText.brand<'RequestClassId'>();
export type RequestClassId = z.infer<typeof requestClassIdSchema>;

/** Unique id of a record in the log, minted by its author before the append. */
export const recordIdSchema = idText.brand<'RecordId'>();
export type RecordId = z.infer<typeof recordIdSchema>;

/** Name of an operator, as given on the command line. */
export const authorSchema = z.string().min(1).max(maximumIdLength).brand<'Author'>();
export type Author = z.infer<typeof authorSchema>;
