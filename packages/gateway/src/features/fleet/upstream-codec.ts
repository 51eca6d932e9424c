/** Encodes entries of the registry as JSON for messages between instances. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '@cairnbank/core';
import type {KeyedChange, RegisteredUpstream} from '@cairnbank/core/registry';
import * as v from 'valibot';

const upstreamSchema = v.tuple([
	v.string(), v.string(), v.string(), v.number(), v.string(), v.number(), v.boolean(), v.number(), v.number(), v.number(), v.nullish(v.string()),
]);
/** An upstream, `null` for one that was removed, or the reason why its entry can't be read. */
export const entrySchema = v.union([upstreamSchema, v.null(), v.string()]);

type Entry = Pick<KeyedChange<RegisteredUpstream>, 'value' | 'fault'>;

export function encodeEntry({value, fault}: {readonly [Field in keyof Entry]: Entry[Field] | undefined}): v.InferInput<typeof entrySchema> {
	return value === undefined ? fault ?? null : fromUpstream(value);
}

export function decodeEntry(entry: v.InferOutput<typeof entrySchema>): Entry {
	if (typeof entry === 'string') {
		return {value: undefined, fault: entry};
	}

	return {value: entry === null ? undefined : toUpstream(entry)};
}

function fromUpstream({
	service, host, availabilityZone, port, id, slots, draining, warmupMs, startedAtMs, sequence, version,
}: RegisteredUpstream): v.InferInput<typeof upstreamSchema> {
	return [service, host, availabilityZone, port, id, slots, draining, warmupMs, startedAtMs, sequence, version];
}

function toUpstream([
	service, host, zone, port, id, slots, draining, warmupMs, startedAtMs, sequence, version,
]: v.InferOutput<typeof upstreamSchema
>): RegisteredUpstream {
	return {
		service: service as ServiceId,
		host,
		availabilityZone: zone as AvailabilityZoneId,
		port,
		id: id as UpstreamId,
		slots,
		draining,
		warmupMs,
		startedAtMs,
		sequence,
		...(typeof version === 'string' ? {version} : {}),
	};
}
