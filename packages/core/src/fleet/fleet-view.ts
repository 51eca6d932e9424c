/** Tracks which instances are alive, from their heartbeats and from updates that other instances pass on. */
import type {Clock} from '../model/clock.js';
import type {AvailabilityZoneId, IncarnationId} from '../model/ids.js';
import {unknownEpoch} from '../registry/store-epoch.js';
import {hashText} from '../routing/hash-text.js';
import type {FleetMember} from './fleet-member.js';
import {FleetSize, unknownFleetSize} from './fleet-size.js';
import {supersedes, type MemberUpdate} from './member-update.js';

export type FleetTiming = {
	/** Time between two heartbeats of an instance. */
	readonly heartbeatMs: number;
	/** Time without a message after which an instance is no longer offered to callers. */
	readonly suspectAfterMs: number;
	/** Time without a message after which an instance is removed and gets no more heartbeats. */
	readonly removeAfterMs: number;
};

/** Three heartbeats in a row have to be missed, so that an instance doesn't lose its callers because of one lost datagram. */
export const defaultFleetTiming: FleetTiming = {heartbeatMs: 400, suspectAfterMs: 1400, removeAfterMs: 20_000};
/** With up to this number of other instances, each one sends heartbeats to all others, which costs at most 60 datagrams a second. */
const smallFleetMaximum = 24;
/** Heartbeat intervals without a heartbeat after which a member that sends them is asked whether it is alive. */
const toleratedHeartbeats = 1.5;
/** Heartbeat intervals without any message after which an instance considers itself cut off. */
const isolationHeartbeats = 2;

type Peer = {
	readonly member: FleetMember;
	readonly heardAtMs: number;
	/** It sends heartbeats here regularly, so that their absence means that it is lost; otherwise it must be asked whether it is alive. */
	readonly sendsHeartbeats: boolean;
	/** Time at which it was declared lost; once it is heard again, it is asked to refute that. */
	readonly lostAtMs: number | undefined;
	/** Its contribution to the digest. */
	readonly hash: number;
};

/** Identifies one reported state of one process. */
type MemberVersion = Pick<FleetMember, 'host' | 'incarnation' | 'revision'>;

const digestRange = 4_294_967_296;

/** Change of the view by a heartbeat. */
export type HeartbeatEffect =
	| 'nothing'
	/** The process was known and alive, and reports a changed state. */
	| 'changed'
	/** The process was not known or its heartbeats had stopped. */
	| 'appeared'
	/** The process was declared lost, possibly by other instances too. */
	| 'returned';

/** Holds the members by address. A new process at an address replaces the previous one. */
export class FleetView {
	/** Fleet size by which limits of the whole fleet are divided. */
	readonly size: FleetSize;
	readonly #clock: Clock;
	readonly #timing: FleetTiming;
	readonly #peers = new Map<string, Peer>();
	/** Addresses from which no instance was heard yet, with the time at which they were added. */
	readonly #candidates = new Map<string, number>();
	#digest = 0;
	/** Time of the last message from any other instance. */
	#heardAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, timing: FleetTiming = defaultFleetTiming) {
		this.size = new FleetSize(clock);
		this.#clock = clock;
		this.#timing = timing;
	}

	/**
	 * Takes in a heartbeat.
	 *
	 * @param sendsHeartbeats - whether the member sends heartbeats here regularly, without being asked
	 */
	receiveHeartbeat(member: FleetMember, sendsHeartbeats = true): HeartbeatEffect {
		const known = this.#peers.get(member.host);
		const effect = this.#classify(member, known);
		this.#heardAtMs = this.#clock.monotonicMs();
		this.#setPeer(member, sendsHeartbeats, undefined);
		this.size.receiveReport(member.fleetSize);
		if (effect !== 'nothing') {
			this.#observeSize();
		}

		return effect;
	}

	/**
	 * Takes in updates that another instance has passed on.
	 *
	 * @returns the updates that changed this view
	 */
	receiveUpdates(received: readonly MemberUpdate[]): readonly MemberUpdate[] {
		this.#heardAtMs = this.#clock.monotonicMs();
		const applied = received.filter(update => this.#applyUpdate(update));
		if (applied.length > 0) {
			this.#observeSize();
		}

		return applied;
	}

	/** Whether a message came from this process itself within the last heartbeat interval. */
	wasHeardRecently(host: string, incarnation: IncarnationId): boolean {
		const peer = this.#peers.get(host);
		return peer?.member.incarnation === incarnation && peer.lostAtMs === undefined
			&& this.#clock.monotonicMs() - peer.heardAtMs < this.#timing.heartbeatMs;
	}

	/** The update to pass on about one member. */
	updateOf(host: string): MemberUpdate | undefined {
		const peer = this.#peers.get(host);
		return peer === undefined ? undefined : updateOf(peer);
	}

	/** Updates about all other members, for an instance whose view differs. Members whose heartbeats stopped are left out. */
	updates(): readonly MemberUpdate[] {
		return [...this.#peers.values()].filter(peer => peer.lostAtMs !== undefined || !this.#isSilent(peer)).map(peer => updateOf(peer));
	}

	/**
	 * Digest of this view and the own process. It is equal on instances that know the same processes with the same revisions and
	 * consider the same ones alive, whatever the order in which the updates arrived.
	 */
	digestWith(own: MemberVersion): number {
		return (this.#digest + hashOf(own)) % digestRange;
	}

	/** Declares a member lost that did not answer when asked whether it is alive. @returns its last known state, if it counted as alive */
	markLost(host: string): FleetMember | undefined {
		const peer = this.#peers.get(host);
		if (peer === undefined || this.#isSilent(peer)) {
			return undefined;
		}

		this.#setPeer(peer.member, peer.sendsHeartbeats, this.#clock.monotonicMs());
		return peer.member;
	}

	/** Number of members that were declared lost within the last `durationMs`. */
	countLostWithin(durationMs: number): number {
		const oldestMs = this.#clock.monotonicMs() - durationMs;
		return [...this.#peers.values()].filter(({lostAtMs}) => lostAtMs !== undefined && lostAtMs >= oldestMs).length;
	}

	/**
	 * Whether a message came from any other instance lately. An instance that receives none is cut off itself: it normally receives
	 * about ten datagrams a second, so two heartbeat intervals without any are not a coincidence.
	 */
	get hasHeardOthersRecently(): boolean {
		return this.#clock.monotonicMs() - this.#heardAtMs < this.#timing.heartbeatMs * isolationHeartbeats;
	}

	/** Members that must be asked whether they are alive, as they send no heartbeats here or have stopped sending them. */
	unconfirmedHosts(): readonly string[] {
		const oldestMs = this.#clock.monotonicMs() - (this.#timing.heartbeatMs * toleratedHeartbeats);
		return [...this.#peers].filter(([, {sendsHeartbeats, heardAtMs}]) => !sendsHeartbeats || heardAtMs < oldestMs).map(([host]) => host);
	}

	/** Adds addresses at which there may be an instance. */
	addCandidates(hosts: readonly string[]): void {
		for (const host of hosts.filter(host => !this.#peers.has(host) && !this.#candidates.has(host))) {
			this.#candidates.set(host, this.#clock.monotonicMs());
		}
	}

	/** Other instances that count as alive. */
	live(): readonly FleetMember[] {
		return [...this.#peers.values()].filter(peer => !this.#isSilent(peer)).map(({member}) => member);
	}

	/** Other instances that may be offered to callers. */
	offered(): readonly FleetMember[] {
		return this.live().filter(({ready, leaving}) => ready && !leaving);
	}

	/**
	 * Instances that could be offered to callers until they were declared lost or their heartbeats stopped. They may have ended, or run
	 * where only others reach them.
	 */
	suspected(): readonly FleetMember[] {
		return [...this.#peers.values()].filter(peer => this.#isSilent(peer)).map(({member}) => member).filter(({ready, leaving}) => ready && !leaving);
	}

	/** Addresses at which there may be an instance, but none was heard from yet. */
	candidates(): readonly string[] {
		return [...this.#candidates.keys()];
	}

	/** Availability zone of a member, if it is known. */
	zoneOf(host: string): AvailabilityZoneId | undefined {
		return this.#peers.get(host)?.member.availabilityZone;
	}

	/**
	 * Whether all instances send heartbeats to all others. In a larger fleet, some instances may still consider it small and others no
	 * longer, so missing heartbeats don't show there that a member is lost.
	 */
	get isSmall(): boolean {
		return this.#peers.size + this.#candidates.size <= smallFleetMaximum;
	}

	/** All addresses at which there is or may be an instance. */
	targets(): readonly string[] {
		return [...this.#peers.keys(), ...this.#candidates.keys()];
	}

	/** Number of instances that were heard here or by another instance and aren't removed yet, with this one. */
	get knownInstances(): number {
		return this.#peers.size + 1;
	}

	/** Whether an instance at this address was heard here or by another instance. */
	isKnown(host: string): boolean {
		return this.#peers.has(host);
	}

	/** Removes members and candidates from which nothing was heard for `removeAfterMs`. @returns their hosts */
	sweep(): readonly string[] {
		this.#observeSize();
		const oldestMs = this.#clock.monotonicMs() - this.#timing.removeAfterMs;
		const silent = [...this.#peers].filter(([, peer]) => this.#isSilent(peer) && (peer.lostAtMs ?? peer.heardAtMs) < oldestMs).map(([host]) => host);
		const expired = [...this.#candidates].filter(([, addedAtMs]) => addedAtMs < oldestMs).map(([host]) => host);
		for (const host of silent) {
			this.#removePeer(host);
		}

		for (const host of expired) {
			this.#candidates.delete(host);
		}

		return [...silent, ...expired];
	}

	/**
	 * Applies an update unless it is outdated. A report of loss is ignored for a member that is unknown or was heard just now.
	 *
	 * @returns whether it changed the view
	 */
	#applyUpdate(update: MemberUpdate): boolean {
		const known = this.#peers.get(update.host);
		const isIgnoredLoss = update.isLost && (known === undefined || this.wasHeardRecently(update.host, update.incarnation));
		if (isIgnoredLoss || (known !== undefined && !supersedes(update, updateOf(known)))) {
			return false;
		}

		const {isLost, ...reported} = update;
		const before = known?.member.incarnation === update.incarnation ? known.member : unreportedState;
		this.#setPeer({...before, ...reported}, false, isLost ? this.#clock.monotonicMs() : undefined);
		return true;
	}

	/** Compares a heartbeat with what was known of the member before. */
	#classify({incarnation, revision}: FleetMember, known: Peer | undefined): HeartbeatEffect {
		if (known?.member.incarnation !== incarnation) {
			return 'appeared';
		}

		if (known.lostAtMs !== undefined) {
			return 'returned';
		}

		if (this.#isSilent(known)) {
			return 'appeared';
		}

		return known.member.revision === revision ? 'nothing' : 'changed';
	}

	#setPeer(member: FleetMember, sendsHeartbeats: boolean, lostAtMs: number | undefined): void {
		const known = this.#peers.get(member.host);
		const heardAtMs = lostAtMs === undefined ? this.#clock.monotonicMs() : known?.heardAtMs ?? Number.NEGATIVE_INFINITY;
		const hash = known !== undefined && isSame(known.member, member) ? known.hash : hashOf(member);
		this.#digest += (lostAtMs === undefined ? hash : 0) - digestContribution(known);
		this.#peers.set(member.host, {
			member, sendsHeartbeats, heardAtMs, lostAtMs, hash,
		});
		this.#candidates.delete(member.host);
	}

	#removePeer(host: string): void {
		this.#digest -= digestContribution(this.#peers.get(host));
		this.#peers.delete(host);
	}

	#observeSize(): void {
		this.size.observe(this.live().length + 1);
	}

	/** Whether the member was declared lost or, in a small fleet, its heartbeats are overdue. */
	#isSilent({sendsHeartbeats, heardAtMs, lostAtMs}: Peer): boolean {
		const isOverdue = sendsHeartbeats && this.isSmall && this.#clock.monotonicMs() - heardAtMs > this.#timing.suspectAfterMs;
		return lostAtMs !== undefined || isOverdue;
	}
}

/** Values assumed for a member that is known only through another instance, until the member itself is heard. */
const unreportedState = {
	membersDigest: 0,
	fleetSize: unknownFleetSize,
	configurationVersion: 0,
	storeEpoch: unknownEpoch,
	evacuations: {revision: 0, zones: [], cancelled: []},
	registryOffset: -1,
	registryDigest: 0,
	stateAgeMs: Number.POSITIVE_INFINITY,
	suspectsDigest: 0,
};

function updateOf({member, lostAtMs}: Peer): MemberUpdate {
	const {
		host, incarnation, availabilityZone, ready, leaving, reachesStore, reachesUpstreams, revision,
	} = member;
	return {
		host, incarnation, availabilityZone, ready, leaving, reachesStore, reachesUpstreams, revision, isLost: lostAtMs !== undefined,
	};
}

function digestContribution(peer: Peer | undefined): number {
	return peer?.lostAtMs === undefined ? peer?.hash ?? 0 : 0;
}

function isSame(left: MemberVersion, right: MemberVersion): boolean {
	return left.incarnation === right.incarnation && left.revision === right.revision;
}

/** Includes the revision, as an instance that missed one doesn't know whether callers may be sent to the member. */
function hashOf({host, incarnation, revision}: MemberVersion): number {
	return hashText(`${host} ${incarnation} ${revision}`);
}
