/** Which instances are alive, from their heartbeats. */
import type {Clock} from '../model/clock.js';
import type {AvailabilityZoneId, IncarnationId} from '../model/ids.js';
import {unknownEpoch} from '../registry/store-epoch.js';
import {hashText} from '../routing/hash-text.js';
import type {FleetMember} from './fleet-member.js';
import {FleetSize, unknownFleetSize} from './fleet-size.js';
import {isNewer, type MemberUpdate} from './member-update.js';

export type FleetTiming = {
	/** Time between two heartbeats of an instance. */
	readonly heartbeatMs: number;
	/** Silence after which an instance is no longer offered to callers. */
	readonly suspectAfterMs: number;
	/** Silence after which an instance gets no more heartbeats. */
	readonly forgetAfterMs: number;
};

/** One lost datagram must not cost an instance its callers: three heartbeats in a row have to be missed. */
export const defaultFleetTiming: FleetTiming = {heartbeatMs: 400, suspectAfterMs: 1400, forgetAfterMs: 20_000};
/** Up to this number of others, heartbeats to all cost at most 60 datagrams a second. */
const smallFleet = 24;
/** Heartbeats that may be late before a member that sends them is asked. */
const toleratedBeats = 1.5;
/** Heartbeats without a word from anyone after which an instance takes itself for cut off. */
const cutOffBeats = 2;

type Peer = {
	readonly member: FleetMember;
	readonly heardAtMs: number;
	/** It sends a heartbeat here each time, so that its silence tells that it is lost; else it must be asked. */
	readonly isBeating: boolean;
	/** When it was found to be lost; it is told so as it is heard again. */
	readonly lostAtMs: number | undefined;
	/** Part of the digest. */
	readonly hash: number;
};

/** What tells one word of a process from another. */
type Identity = Pick<FleetMember, 'host' | 'incarnation' | 'revision'>;

const digestRange = 4_294_967_296;

/** What a heartbeat changed in the view. */
export type HeardChange =
	| 'nothing'
	/** It is known, and says something new of itself. */
	| 'changed'
	/** The process was not known or had fallen silent. */
	| 'appeared'
	/** It was held for lost, maybe by others too. */
	| 'returned';

/** Members by address: a process that starts anew at an address takes the place of the one before. */
export class FleetView {
	/** What divides bounds that the fleet shares. */
	readonly size: FleetSize;
	readonly #clock: Clock;
	readonly #timing: FleetTiming;
	readonly #peers = new Map<string, Peer>();
	/** Addresses that are only known by name, with the time at which they were told. */
	readonly #candidates = new Map<string, number>();
	#digest = 0;
	/** When anything last came from any other instance. */
	#heardAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, timing: FleetTiming = defaultFleetTiming) {
		this.size = new FleetSize(clock);
		this.#clock = clock;
		this.#timing = timing;
	}

	/**
	 * Takes in a heartbeat.
	 *
	 * @param isBeating - whether more of them follow without being asked for
	 */
	heard(member: FleetMember, isBeating = true): HeardChange {
		const known = this.#peers.get(member.host);
		const update = this.#updateOf(member, known);
		this.#heardAtMs = this.#clock.monotonicMs();
		this.#put(member, isBeating, undefined);
		this.size.receive(member.fleetSize);
		if (update !== 'nothing') {
			this.#noteSize();
		}

		return update;
	}

	/**
	 * Takes in what another instance has passed on.
	 *
	 * @returns what was new here
	 */
	receive(passedOn: readonly MemberUpdate[]): readonly MemberUpdate[] {
		this.#heardAtMs = this.#clock.monotonicMs();
		const update = passedOn.filter(one => this.#tell(one));
		if (update.length > 0) {
			this.#noteSize();
		}

		return update;
	}

	/** Whether this process was heard itself within the last heartbeat. */
	isHeardNow(host: string, incarnation: IncarnationId): boolean {
		const peer = this.#peers.get(host);
		return peer?.member.incarnation === incarnation && peer.lostAtMs === undefined
			&& this.#clock.monotonicMs() - peer.heardAtMs < this.#timing.heartbeatMs;
	}

	/** What is passed on of one member. */
	updateOf(host: string): MemberUpdate | undefined {
		const peer = this.#peers.get(host);
		return peer === undefined ? undefined : updateOf(peer);
	}

	/** All that is known of others, for an instance that knows something else; what fell silent is left out. */
	updates(): readonly MemberUpdate[] {
		return [...this.#peers.values()].filter(peer => peer.lostAtMs !== undefined || !this.#isSilent(peer)).map(peer => updateOf(peer));
	}

	/** Equal where the same of the same processes is known, and the same ones are held for alive, whatever the order in which they became known. */
	digestWith(own: Identity): number {
		return (this.#digest + hashOf(own)) % digestRange;
	}

	/** It has left all asks unanswered. @returns what was known of it, if it counted as alive */
	lost(host: string): FleetMember | undefined {
		const peer = this.#peers.get(host);
		if (peer === undefined || this.#isSilent(peer)) {
			return undefined;
		}

		this.#put(peer.member, peer.isBeating, this.#clock.monotonicMs());
		return peer.member;
	}

	/** Number of members found to be lost within this time. */
	lostWithin(durationMs: number): number {
		const oldestMs = this.#clock.monotonicMs() - durationMs;
		return [...this.#peers.values()].filter(({lostAtMs}) => lostAtMs !== undefined && lostAtMs >= oldestMs).length;
	}

	/**
	 * Whether anyone was heard lately: an instance that hears nobody is cut off itself. One hears some ten datagrams a
	 * second, so that two heartbeats without any are no accident.
	 */
	get hearsOthers(): boolean {
		return this.#clock.monotonicMs() - this.#heardAtMs < this.#timing.heartbeatMs * cutOffBeats;
	}

	/** Members that must be asked whether they are alive, as they send no heartbeats here or have stopped to. */
	unsure(): readonly string[] {
		const oldestMs = this.#clock.monotonicMs() - (this.#timing.heartbeatMs * toleratedBeats);
		return [...this.#peers].filter(([, {isBeating, heardAtMs}]) => !isBeating || heardAtMs < oldestMs).map(([host]) => host);
	}

	/** Addresses at which an instance may be. */
	addCandidates(hosts: readonly string[]): void {
		for (const host of hosts.filter(host => !this.#peers.has(host) && !this.#candidates.has(host))) {
			this.#candidates.set(host, this.#clock.monotonicMs());
		}
	}

	/** Others that were heard lately. */
	live(): readonly FleetMember[] {
		return [...this.#peers.values()].filter(peer => !this.#isSilent(peer)).map(({member}) => member);
	}

	/** Others that may be offered to callers. */
	offered(): readonly FleetMember[] {
		return this.live().filter(({ready, leaving}) => ready && !leaving);
	}

	/** Addresses at which an instance may be, though none was heard from there yet. */
	candidates(): readonly string[] {
		return [...this.#candidates.keys()];
	}

	/** Availability zone of a member, as far as it is known. */
	zoneOf(host: string): AvailabilityZoneId | undefined {
		return this.#peers.get(host)?.member.availabilityZone;
	}

	/**
	 * Whether all send heartbeats to all. In a larger fleet some may still think it small, or have been told late that it
	 * isn't, so that silence tells nothing.
	 */
	get isSmall(): boolean {
		return this.#peers.size + this.#candidates.size <= smallFleet;
	}

	/** All addresses at which an instance is or may be. */
	targets(): readonly string[] {
		return [...this.#peers.keys(), ...this.#candidates.keys()];
	}

	/** Whether an instance at this address was heard, or another has heard it. */
	isKnown(host: string): boolean {
		return this.#peers.has(host);
	}

	/** Forgets what has been silent for long. @returns the hosts that are forgotten */
	sweep(): readonly string[] {
		this.#noteSize();
		const oldestMs = this.#clock.monotonicMs() - this.#timing.forgetAfterMs;
		const silent = [...this.#peers].filter(([, peer]) => this.#isSilent(peer) && (peer.lostAtMs ?? peer.heardAtMs) < oldestMs).map(([host]) => host);
		const unheard = [...this.#candidates].filter(([, toldAtMs]) => toldAtMs < oldestMs).map(([host]) => host);
		for (const host of silent) {
			this.#drop(host);
		}

		for (const host of unheard) {
			this.#candidates.delete(host);
		}

		return [...silent, ...unheard];
	}

	/** One that was heard just now is not lost, whatever others say. */
	#tell(update: MemberUpdate): boolean {
		const known = this.#peers.get(update.host);
		const isContradicted = update.isLost && (known === undefined || this.isHeardNow(update.host, update.incarnation));
		if (isContradicted || (known !== undefined && !isNewer(update, updateOf(known)))) {
			return false;
		}

		const {isLost, ...told} = update;
		const before = known?.member.incarnation === update.incarnation ? known.member : unknownState;
		this.#put({...before, ...told}, false, isLost ? this.#clock.monotonicMs() : undefined);
		return true;
	}

	#updateOf({incarnation, revision}: FleetMember, known: Peer | undefined): HeardChange {
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

	#put(member: FleetMember, isBeating: boolean, lostAtMs: number | undefined): void {
		const known = this.#peers.get(member.host);
		const heardAtMs = lostAtMs === undefined ? this.#clock.monotonicMs() : known?.heardAtMs ?? Number.NEGATIVE_INFINITY;
		const hash = known !== undefined && isSame(known.member, member) ? known.hash : hashOf(member);
		this.#digest += (lostAtMs === undefined ? hash : 0) - digestPart(known);
		this.#peers.set(member.host, {
			member, isBeating, heardAtMs, lostAtMs, hash,
		});
		this.#candidates.delete(member.host);
	}

	#drop(host: string): void {
		this.#digest -= digestPart(this.#peers.get(host));
		this.#peers.delete(host);
	}

	#noteSize(): void {
		this.size.note(this.live().length + 1);
	}

	#isSilent({isBeating, heardAtMs, lostAtMs}: Peer): boolean {
		const isOverdue = isBeating && this.isSmall && this.#clock.monotonicMs() - heardAtMs > this.#timing.suspectAfterMs;
		return lostAtMs !== undefined || isOverdue;
	}
}

/** What is taken of a member of which another instance has told, until it is heard itself. */
const unknownState = {
	membersDigest: 0,
	fleetSize: unknownFleetSize,
	configurationVersion: 0,
	storeEpoch: unknownEpoch,
	evacuations: {revision: 0, zones: [], cancelled: []},
	registryOffset: -1,
	registryDigest: 0,
	stateAgeMs: Number.POSITIVE_INFINITY,
};

function updateOf({member, lostAtMs}: Peer): MemberUpdate {
	const {
		host, incarnation, availabilityZone, ready, leaving, reachesStore, revision,
	} = member;
	return {
		host, incarnation, availabilityZone, ready, leaving, reachesStore, revision, isLost: lostAtMs !== undefined,
	};
}

function digestPart(peer: Peer | undefined): number {
	return peer?.lostAtMs === undefined ? peer?.hash ?? 0 : 0;
}

function isSame(left: Identity, right: Identity): boolean {
	return left.incarnation === right.incarnation && left.revision === right.revision;
}

/** With the revision, as whoever missed one doesn't know whether callers may be sent there. */
function hashOf({host, incarnation, revision}: Identity): number {
	return hashText(`${host} ${incarnation} ${revision}`);
}
