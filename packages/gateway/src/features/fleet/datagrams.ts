/** Encodes messages between instances as JSON arrays, which are short: traffic between availability zones costs money. */
import {Buffer} from 'node:buffer';
import type {AvailabilityZoneId, IncarnationId, UpstreamId} from '@cairnbank/core';
import type {CrashRecord} from '@cairnbank/core/crash-record';
import type {LimitMessage} from '@cairnbank/core/account-limits';
import type {FleetMember, MemberUpdate} from '@cairnbank/core/fleet';
import type {AdvertisedLimit} from '@cairnbank/core/limits';
import type {
	KeyedChanges, RegisteredUpstream, RemovalConfidence, StoreEpoch,
} from '@cairnbank/core/registry';
import {err, ok, type Result} from 'neverthrow';
import * as v from 'valibot';
import {
	decodeLimitMessage, encodeLimitMessage, limitSchema,
} from '../account-limits/limit-codec.js';
import type {RateReport} from '../upstreams/rate-limits.js';
import {
	decodeMemberFlags, decodeMembers, encodeMembers, hasFlag, memberFlags, membersSchema,
} from './member-codec.js';
import {decodeSuspect, encodeSuspect, suspectSchema} from './suspects-codec.js';
import {entrySchema, encodeEntry, decodeEntry} from './upstream-codec.js';

/** Larger datagrams may be fragmented, and are lost as a whole with any fragment. Receivers fetch state that they miss. */
export const maximumDatagramBytes = 1200;

export type FleetMessage =
	/** About the limits of client accounts. */
	| {readonly type: 'limit'; readonly message: LimitMessage}
	| {
		readonly type: 'heartbeat';
		readonly member: FleetMember;
		/** Whether the sender sends heartbeats to this receiver regularly, without being asked. */
		readonly isPeriodic: boolean;
		/** The receiver replies with a heartbeat of its own. */
		readonly requestsReply: boolean;
		/** The receiver replies with all its updates about members. */
		readonly requestsMembers: boolean;
		/** The receiver relays the message to its availability zone. */
		readonly shouldRelayInZone: boolean;
	}
	/** Updates about some members. */
	| {readonly type: 'members'; readonly members: readonly MemberUpdate[]}
	/** Requests that were running at upstreams that crashed. */
	| {readonly type: 'suspects'; readonly records: readonly CrashRecord[]}
	/** The receiver replies with its suspects. */
	| {readonly type: 'suspects-request'}
	/** The rate limit that an upstream advertises. */
	| {
		readonly type: 'rate';
		readonly report: RateReport;
		/** The receiver relays the message to its availability zone. */
		readonly shouldRelayInZone: boolean;
	}
	/** Changes of the registry. */
	| {
		readonly type: 'changes';
		/** Epoch of the store to which the offsets of the changes belong. */
		readonly epoch: StoreEpoch;
		readonly changes: KeyedChanges<RegisteredUpstream>;
		readonly confidence: RemovalConfidence;
		/** The receiver relays the message to its availability zone. */
		readonly shouldRelayInZone: boolean;
	};

const millisecondsPerSecond = 1000;
const periodicFlag = 8;
const requestsReplyFlag = 16;
const requestsMembersFlag = 32;
const relayInZoneFlag = 128;

/** Maximum number of members in one message: it fits into a datagram even with five availability zones of long names. */
export const membersPerMessage = 22;

const heartbeatSchema = v.tuple([
	v.literal('b'),
	v.string(),
	v.string(),
	v.string(),
	v.number(),
	v.number(),
	v.number(),
	v.number(),
	v.number(),
	v.number(),
	v.number(),
	v.number(),
	v.array(v.string()),
	v.array(v.string()),
	v.number(),
	v.pipe(v.number(), v.integer(), v.minValue(0)),
	v.pipe(v.number(), v.minValue(0)),
	v.optional(v.number(), 0),
]);
const changesSchema = v.tuple([
	v.literal('c'),
	v.number(),
	v.number(),
	v.nullable(v.number()),
	v.array(v.tuple([v.number(), v.string(), entrySchema])),
	v.boolean(),
	v.number(),
]);
const suspectsSchema = v.tuple([v.literal('s'), v.array(suspectSchema)]);
/** Upstream, time of its start, requests per second or `null` for no limit, age of the advertisement, whether it is relayed. */
const rateSchema = v.tuple([
	v.literal('r'), v.string(), v.number(), v.nullable(v.pipe(v.number(), v.minValue(0))), v.pipe(v.number(), v.minValue(0)), v.boolean(),
]);
const suspectsRequestSchema = v.tuple([v.literal('q')]);
const messageSchema = v.union([heartbeatSchema, membersSchema, changesSchema, suspectsSchema, suspectsRequestSchema, rateSchema, v.tuple([v.literal('l'), limitSchema])]);

export function encodeMessage(message: FleetMessage, nowMs: number): Uint8Array {
	return Buffer.from(JSON.stringify(encodeArray(message, nowMs)));
}

/** @param nowMs - time of the monotonic clock, from which relative times of the message are counted */
export function decodeMessage(bytes: Uint8Array, nowMs: number): Result<FleetMessage, string> {
	let json: unknown;
	try {
		json = JSON.parse(bytes.toString());
	} catch (error) {
		return err((error as Error).message);
	}

	const parsed = v.safeParse(messageSchema, json);
	return parsed.success ? ok(decodeArray(parsed.output, nowMs)) : err(parsed.issues[0].message);
}

function encodeArray(message: FleetMessage, nowMs: number): readonly unknown[] {
	switch (message.type) {
		case 'heartbeat': {
			const {member} = message;
			return [
				'b',
				member.incarnation,
				member.host,
				member.availabilityZone,
				heartbeatFlags(message),
				member.revision,
				member.membersDigest,
				member.configurationVersion,
				member.registryOffset,
				member.registryDigest,
				member.stateAgeMs,
				member.evacuations.revision,
				member.evacuations.zones,
				member.evacuations.cancelled,
				member.storeEpoch,
				member.fleetSize.instances,
				Math.ceil(member.fleetSize.ageMs / millisecondsPerSecond),
				member.suspectsDigest,
			];
		}

		case 'members': {
			return ['m', encodeMembers(message.members)];
		}

		case 'suspects': {
			return ['s', message.records.map(record => encodeSuspect(record, nowMs))];
		}

		case 'suspects-request': {
			return ['q'];
		}

		case 'rate': {
			const {report: {upstream, startedAtMs, advertisement: {limit, atMs}}, shouldRelayInZone} = message;
			const requestsPerSecond = limit.type === 'limited' ? limit.requestsPerSecond : null;
			return ['r', upstream, startedAtMs, requestsPerSecond, Math.max(0, Math.round(nowMs - atMs)), shouldRelayInZone];
		}

		case 'changes': {
			const {epoch, changes, confidence} = message;
			const returnedAgoMs = confidence.type === 'sound' ? null : Math.round(nowMs - confidence.returnedAtMs);
			return ['c', changes.fromOffset, changes.endOffset, returnedAgoMs, changes.records.map(({offset, key, value, fault}) => [
				offset, key, encodeEntry({value, fault}),
			]), message.shouldRelayInZone, epoch];
		}

		case 'limit': {
			return ['l', encodeLimitMessage(message.message)];
		}
	}
}

function decodeArray(array: v.InferOutput<typeof messageSchema>, nowMs: number): FleetMessage {
	switch (array[0]) {
		case 'b': {
			const [
				, incarnation,
				host,
				zone,
				flags,
				revision,
				membersDigest,
				configurationVersion,
				registryOffset,
				registryDigest,
				stateAgeMs,
				evacuationRevision,
				emptiedZones,
				cancelled,
				storeEpoch,
				fleetInstances,
				fleetAgeSeconds,
				suspectsDigest,
			] = array;
			return {
				type: 'heartbeat',
				member: {
					incarnation: incarnation as IncarnationId,
					host,
					availabilityZone: zone as AvailabilityZoneId,
					...decodeMemberFlags(flags),
					revision,
					membersDigest,
					configurationVersion,
					storeEpoch: storeEpoch as StoreEpoch,
					fleetSize: {instances: fleetInstances, ageMs: fleetAgeSeconds * millisecondsPerSecond},
					evacuations: {revision: evacuationRevision, zones: emptiedZones as AvailabilityZoneId[], cancelled: cancelled as AvailabilityZoneId[]},
					registryOffset,
					registryDigest,
					stateAgeMs,
					suspectsDigest,
				},
				isPeriodic: hasFlag(flags, periodicFlag),
				requestsReply: hasFlag(flags, requestsReplyFlag),
				requestsMembers: hasFlag(flags, requestsMembersFlag),
				shouldRelayInZone: hasFlag(flags, relayInZoneFlag),
			};
		}

		case 'm': {
			return {type: 'members', members: decodeMembers(array)};
		}

		case 's': {
			return {type: 'suspects', records: array[1].map(record => decodeSuspect(record, nowMs))};
		}

		case 'q': {
			return {type: 'suspects-request'};
		}

		case 'r': {
			const [, upstream, startedAtMs, requestsPerSecond, ageMs, shouldRelayInZone] = array;
			const limit: AdvertisedLimit = requestsPerSecond === null ? {type: 'none'} : {type: 'limited', requestsPerSecond};
			return {type: 'rate', report: {upstream: upstream as UpstreamId, startedAtMs, advertisement: {limit, atMs: nowMs - ageMs}}, shouldRelayInZone};
		}

		case 'c': {
			const [, fromOffset, endOffset, returnedAgoMs, records, shouldRelayInZone, epoch] = array;
			return {
				type: 'changes',
				epoch: epoch as StoreEpoch,
				shouldRelayInZone,
				confidence: returnedAgoMs === null ? {type: 'sound'} : {type: 'after-outage', returnedAtMs: nowMs - returnedAgoMs},
				changes: {
					fromOffset,
					endOffset,
					records: records.map(([offset, key, entry]) => ({offset, key, ...decodeEntry(entry)})),
				},
			};
		}

		case 'l': {
			return {type: 'limit', message: decodeLimitMessage(array[1])};
		}
	}
}

function heartbeatFlags({member, isPeriodic, requestsReply, requestsMembers, shouldRelayInZone}: Extract<FleetMessage, {type: 'heartbeat'}>): number {
	return memberFlags(member)
		+ (isPeriodic ? periodicFlag : 0)
		+ (requestsReply ? requestsReplyFlag : 0)
		+ (requestsMembers ? requestsMembersFlag : 0)
		+ (shouldRelayInZone ? relayInZoneFlag : 0);
}
