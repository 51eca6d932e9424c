/** Messages between instances, as JSON arrays: every byte between availability zones is paid for. */
import {Buffer} from 'node:buffer';
import type {
	AvailabilityZoneId, Fingerprint, IncarnationId, UpstreamId,
} from '@cairnbank/core';
import type {FleetMember, MemberUpdate} from '@cairnbank/core/fleet';
import type {AdvertisedLimit} from '@cairnbank/core/limits';
import type {
	KeyedChanges, RegisteredUpstream, RemovalConfidence, StoreEpoch,
} from '@cairnbank/core/registry';
import {err, ok, type Result} from 'neverthrow';
import * as v from 'valibot';
import type {Crash} from '../calls/poison-guard.js';
import type {RateReport} from '../upstreams/rate-limits.js';
import {entrySchema, fromEntry, toEntry} from './upstream-codec.js';

/** Larger messages might be split on the way and lost whole with any part; others then ask for the state. */
export const maximumDatagramBytes = 1200;

export type FleetMessage =
	| {
		readonly type: 'heartbeat';
		readonly member: FleetMember;
		/** More of them follow without being asked for. */
		readonly isBeating: boolean;
		/** The receiver is asked for one of its own. */
		readonly wantsReply: boolean;
		/** The receiver is asked for all that it knows of members. */
		readonly wantsMembers: boolean;
		/** The receiver passes it on to its availability zone. */
		readonly isForZone: boolean;
	}
	/** What the sender knows of some members. */
	| {readonly type: 'members'; readonly members: readonly MemberUpdate[]}
	/** A request was running at an upstream that crashed. */
	| {readonly type: 'crash'; readonly crash: Crash}
	/** What an upstream says of its rate limit. */
	| {
		readonly type: 'rate';
		readonly report: RateReport;
		/** The receiver passes it on to its availability zone. */
		readonly isForZone: boolean;
	}
	| {
		readonly type: 'changes';
		/** To which the positions of the changes belong. */
		readonly epoch: StoreEpoch;
		readonly changes: KeyedChanges<RegisteredUpstream>;
		readonly trust: RemovalConfidence;
		/** The receiver passes them on to its availability zone. */
		readonly isForZone: boolean;
	};

const millisecondsPerSecond = 1000;
const readyFlag = 1;
const leavingFlag = 2;
const reachesStoreFlag = 4;
const beatingFlag = 8;
const wantsReplyFlag = 16;
const wantsMembersFlag = 32;
const lostFlag = 64;
const forZoneFlag = 128;

/** Members in one message, so that it fits into a datagram with five availability zones of long names. */
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
]);
/** By availability zone: host, incarnation, flags, revision. */
const membersSchema = v.tuple([
	v.literal('m'), v.array(v.tuple([v.string(), v.array(v.tuple([v.string(), v.string(), v.number(), v.number()]))])),
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
const crashSchema = v.tuple([v.literal('x'), v.string(), v.string()]);
/** Upstream, its start, requests a second or nothing, age of the statement, whether it is passed on. */
const rateSchema = v.tuple([
	v.literal('r'), v.string(), v.number(), v.nullable(v.pipe(v.number(), v.minValue(0))), v.pipe(v.number(), v.minValue(0)), v.boolean(),
]);
const messageSchema = v.union([heartbeatSchema, membersSchema, changesSchema, crashSchema, rateSchema]);

export function encodeMessage(message: FleetMessage, nowMs: number): Uint8Array {
	return Buffer.from(JSON.stringify(toArray(message, nowMs)));
}

/** @param nowMs - of the monotonic clock, to which relative times are set */
export function decodeMessage(bytes: Uint8Array, nowMs: number): Result<FleetMessage, string> {
	let json: unknown;
	try {
		json = JSON.parse(bytes.toString());
	} catch (error) {
		return err((error as Error).message);
	}

	const parsed = v.safeParse(messageSchema, json);
	return parsed.success ? ok(fromArray(parsed.output, nowMs)) : err(parsed.issues[0].message);
}

function toArray(message: FleetMessage, nowMs: number): unknown[] {
	switch (message.type) {
		case 'heartbeat': {
			const {member} = message;
			return [
				'b',
				member.incarnation,
				member.host,
				member.availabilityZone,
				flagsOf(message),
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
			];
		}

		case 'members': {
			return ['m', fromMembers(message.members)];
		}

		case 'crash': {
			return ['x', message.crash.fingerprint, message.crash.upstream];
		}

		case 'rate': {
			const {report: {upstream, startedAtMs, statement: {limit, atMs}}, isForZone} = message;
			const requestsPerSecond = limit.type === 'limited' ? limit.requestsPerSecond : null;
			return ['r', upstream, startedAtMs, requestsPerSecond, Math.max(0, Math.round(nowMs - atMs)), isForZone];
		}

		case 'changes': {
			const {epoch, changes, trust} = message;
			const returnedAgoMs = trust.type === 'sound' ? null : Math.round(nowMs - trust.returnedAtMs);
			return ['c', changes.fromOffset, changes.endOffset, returnedAgoMs, changes.records.map(({offset, key, value, fault}) => [
				offset, key, fromEntry({value, fault}),
			]), message.isForZone, epoch];
		}
	}
}

function fromArray(array: v.InferOutput<typeof messageSchema>, nowMs: number): FleetMessage {
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
				emptied,
				takenBack,
				storeEpoch,
				fleetInstances,
				fleetAgeSeconds,
			] = array;
			return {
				type: 'heartbeat',
				member: {
					incarnation: incarnation as IncarnationId,
					host,
					availabilityZone: zone as AvailabilityZoneId,
					ready: hasFlag(flags, readyFlag),
					leaving: hasFlag(flags, leavingFlag),
					reachesStore: hasFlag(flags, reachesStoreFlag),
					revision,
					membersDigest,
					configurationVersion,
					storeEpoch: storeEpoch as StoreEpoch,
					fleetSize: {instances: fleetInstances, ageMs: fleetAgeSeconds * millisecondsPerSecond},
					evacuations: {revision: evacuationRevision, zones: emptied as AvailabilityZoneId[], cancelled: takenBack as AvailabilityZoneId[]},
					registryOffset,
					registryDigest,
					stateAgeMs,
				},
				isBeating: hasFlag(flags, beatingFlag),
				wantsReply: hasFlag(flags, wantsReplyFlag),
				wantsMembers: hasFlag(flags, wantsMembersFlag),
				isForZone: hasFlag(flags, forZoneFlag),
			};
		}

		case 'm': {
			return {type: 'members', members: toMembers(array)};
		}

		case 'x': {
			return {type: 'crash', crash: {fingerprint: array[1] as Fingerprint, upstream: array[2] as UpstreamId}};
		}

		case 'r': {
			const [, upstream, startedAtMs, requestsPerSecond, ageMs, isForZone] = array;
			const limit: AdvertisedLimit = requestsPerSecond === null ? {type: 'none'} : {type: 'limited', requestsPerSecond};
			return {type: 'rate', report: {upstream: upstream as UpstreamId, startedAtMs, statement: {limit, atMs: nowMs - ageMs}}, isForZone};
		}

		case 'c': {
			const [, fromOffset, endOffset, returnedAgoMs, records, isForZone, epoch] = array;
			return {
				type: 'changes',
				epoch: epoch as StoreEpoch,
				isForZone,
				trust: returnedAgoMs === null ? {type: 'sound'} : {type: 'after-outage', returnedAtMs: nowMs - returnedAgoMs},
				changes: {
					fromOffset,
					endOffset,
					records: records.map(([offset, key, entry]) => ({offset, key, ...toEntry(entry)})),
				},
			};
		}
	}
}

function flagsOf({member, isBeating, wantsReply, wantsMembers, isForZone}: Extract<FleetMessage, {type: 'heartbeat'}>): number {
	return memberFlags(member)
		+ (isBeating ? beatingFlag : 0)
		+ (wantsReply ? wantsReplyFlag : 0)
		+ (wantsMembers ? wantsMembersFlag : 0)
		+ (isForZone ? forZoneFlag : 0);
}

function memberFlags({ready, leaving, reachesStore}: Pick<MemberUpdate, 'ready' | 'leaving' | 'reachesStore'>): number {
	return (ready ? readyFlag : 0) + (leaving ? leavingFlag : 0) + (reachesStore ? reachesStoreFlag : 0);
}

function fromMembers(members: readonly MemberUpdate[]): Array<v.InferInput<typeof membersSchema>[1][number]> {
	const byZone = new Map<string, Array<[string, string, number, number]>>();
	for (const member of members) {
		const ofZone = byZone.get(member.availabilityZone) ?? [];
		ofZone.push([member.host, member.incarnation, memberFlags(member) + (member.isLost ? lostFlag : 0), member.revision]);
		byZone.set(member.availabilityZone, ofZone);
	}

	return [...byZone];
}

function toMembers([, byZone]: v.InferOutput<typeof membersSchema>): readonly MemberUpdate[] {
	return byZone.flatMap(([zone, members]) => members.map(([host, incarnation, flags, revision]) => ({
		host,
		incarnation: incarnation as IncarnationId,
		availabilityZone: zone as AvailabilityZoneId,
		ready: hasFlag(flags, readyFlag),
		leaving: hasFlag(flags, leavingFlag),
		reachesStore: hasFlag(flags, reachesStoreFlag),
		isLost: hasFlag(flags, lostFlag),
		revision,
	})));
}

function hasFlag(flags: number, flag: number): boolean {
	return Math.floor(flags / flag) % 2 === 1;
}
