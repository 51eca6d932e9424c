/** Tracks the processes of entry instances, from gossip and from this daemon's own exchanges. */
import type {Clock} from '../model/clock.js';
import type {IncarnationId} from '../model/ids.js';
import {mergeEntries, laterState, type MemberEntry} from './member-entry.js';
import type {Member} from './member.js';
import {suspectAfterMs, type MembershipTiming} from './membership-timing.js';
import type {Suspicion} from './suspicion.js';
import {Tombstones} from './tombstones.js';

/** Update of this process's entry; the state can only move forward. */
export type SelfUpdate = Partial<Pick<MemberEntry, 'state' | 'configurationOffset' | 'configurationHash' | 'callsPerSecond' | 'holdsTablesOf'>>;

export type MemberTableOptions = {
	readonly self: MemberEntry;
	readonly clock: Clock;
	readonly timing: MembershipTiming;
};

/** Members by incarnation. This process is always a member. */
export class MemberTable {
	readonly #clock: Clock;
	readonly #timing: MembershipTiming;
	readonly #others = new Map<IncarnationId, Member>();
	readonly #tombstones: Tombstones;
	readonly #startedAtMs: number;
	#self: MemberEntry;

	constructor({self, clock, timing}: MemberTableOptions) {
		this.#self = self;
		this.#clock = clock;
		this.#timing = timing;
		this.#startedAtMs = clock.monotonicMs();
		this.#tombstones = new Tombstones(clock, timing.tombstoneMs);
	}

	/** This process as a member, heard from just now. */
	get selfMember(): Member {
		return {entry: this.#self, firstHeardAtMs: this.#startedAtMs, heardAtMs: this.#clock.monotonicMs()};
	}

	get self(): MemberEntry {
		return this.#self;
	}

	/** Number of members that are not removed, including this process. */
	get size(): number {
		return this.#others.size + 1;
	}

	/** Increments this process's heartbeat. */
	incrementHeartbeat(): void {
		this.#self = {...this.#self, heartbeat: this.#self.heartbeat + 1};
	}

	/** Raises this process's heartbeat far enough to refute a peer's suspicion of it. */
	refute(suspectedAtHeartbeat: number): void {
		const heartbeat = Math.max(this.#self.heartbeat, suspectedAtHeartbeat + this.#timing.suspicionMargin + 1);
		this.#self = {...this.#self, heartbeat};
	}

	updateSelf(update: SelfUpdate): void {
		const state = laterState(this.#self.state, update.state ?? this.#self.state);
		this.#self = {...this.#self, ...update, state};
	}

	/** All members but this process. */
	others(): readonly Member[] {
		return [...this.#others.values()];
	}

	entryOf(incarnation: IncarnationId): MemberEntry | undefined {
		return incarnation === this.#self.incarnation ? this.#self : this.#others.get(incarnation)?.entry;
	}

	/**
	 * Merges an entry that was created by the process it describes.
	 *
	 * @returns whether the entry should be forwarded to peers, because the incarnation is new or its state is later
	 */
	mergeEntry(entry: MemberEntry): boolean {
		if (entry.incarnation === this.#self.incarnation || this.#tombstones.blocks(entry.incarnation, entry.heartbeat)) {
			return false;
		}

		const known = this.#others.get(entry.incarnation);
		if (!known) {
			this.#tombstones.delete(entry.incarnation);
			const nowMs = this.#clock.monotonicMs();
			this.#others.set(entry.incarnation, {entry, firstHeardAtMs: nowMs, heardAtMs: nowMs});
			return true;
		}

		const merged = mergeEntries(known.entry, entry);
		const hasRisen = entry.heartbeat > known.entry.heartbeat;
		this.#others.set(entry.incarnation, {...known, entry: merged, heardAtMs: hasRisen ? this.#clock.monotonicMs() : known.heardAtMs});
		return merged.state !== known.entry.state;
	}

	/** Merges a heartbeat without an entry; it is ignored if the incarnation's entry is not known yet. */
	mergeHeartbeat(incarnation: IncarnationId, heartbeat: number): void {
		const known = this.#others.get(incarnation);
		if (known && heartbeat > known.entry.heartbeat) {
			this.#others.set(incarnation, {...known, entry: {...known.entry, heartbeat}, heardAtMs: this.#clock.monotonicMs()});
		}
	}

	/** Merges a peer's suspicion. @returns whether it is new and not refuted by the known heartbeat */
	mergeSuspicion({incarnation, heartbeat}: Suspicion): boolean {
		const known = this.#others.get(incarnation);
		if (!known || this.#refutes(known.entry.heartbeat, heartbeat) || this.#isKnownSuspicion(known, heartbeat)) {
			return false;
		}

		this.#others.set(incarnation, {...known, suspectedAtHeartbeat: heartbeat});
		return true;
	}

	/** Records a failed exchange with a member. @returns the suspicion to send to peers */
	reportUnreachable(incarnation: IncarnationId): Suspicion | undefined {
		const known = this.#others.get(incarnation);
		if (!known) {
			return undefined;
		}

		const {heartbeat} = known.entry;
		const unreachableUntilMs = this.#clock.monotonicMs() + this.#timing.unreachableHoldMs;
		this.#others.set(incarnation, {...known, suspectedAtHeartbeat: heartbeat, unreachableUntilMs});
		return {incarnation, heartbeat};
	}

	/** Records that a member answered an exchange, and removes other members with its peer address, as their processes are gone. */
	confirmReachable(entry: MemberEntry): void {
		this.mergeEntry(entry);
		const known = this.#others.get(entry.incarnation);
		if (!known) {
			return;
		}

		this.#others.set(entry.incarnation, {
			entry: known.entry, firstHeardAtMs: known.firstHeardAtMs, heardAtMs: this.#clock.monotonicMs(),
		});
		for (const other of this.others()) {
			if (other.entry.incarnation !== entry.incarnation && other.entry.peerAddress === entry.peerAddress) {
				this.#remove(other);
			}
		}
	}

	isSuspected(member: Member): boolean {
		const nowMs = this.#clock.monotonicMs();
		const isReported = member.suspectedAtHeartbeat !== undefined && !this.#refutes(member.entry.heartbeat, member.suspectedAtHeartbeat);
		const isUnreachable = member.unreachableUntilMs !== undefined && nowMs < member.unreachableUntilMs;
		return isReported || isUnreachable || nowMs - member.heardAtMs > suspectAfterMs(this.#timing, this.size);
	}

	/** Other members that are neither suspected nor superseded by a newer process at their address; they may be leaving. */
	reachable(): readonly Member[] {
		return this.others().filter(member => !this.isSuspected(member) && this.#isNewestAtAddress(member));
	}

	suspected(): readonly Member[] {
		return this.others().filter(member => this.isSuspected(member));
	}

	/** Removes members that were not heard from for `removeAfterMs`. @returns the removed members */
	sweep(): readonly MemberEntry[] {
		const nowMs = this.#clock.monotonicMs();
		const expired = this.others().filter(member => nowMs - member.heardAtMs > this.#timing.removeAfterMs);
		for (const member of expired) {
			this.#remove(member);
		}

		this.#tombstones.sweep();
		return expired.map(member => member.entry);
	}

	#isNewestAtAddress(member: Member): boolean {
		if (member.entry.callerAddress === this.#self.callerAddress) {
			return false;
		}

		return this.others().every(other => other === member
			|| other.entry.callerAddress !== member.entry.callerAddress
			|| other.heardAtMs < member.heardAtMs
			|| (other.heardAtMs === member.heardAtMs && other.entry.incarnation < member.entry.incarnation));
	}

	#refutes(heartbeat: number, suspectedAtHeartbeat: number): boolean {
		return heartbeat > suspectedAtHeartbeat + this.#timing.suspicionMargin;
	}

	#isKnownSuspicion(known: Member, heartbeat: number): boolean {
		return known.suspectedAtHeartbeat !== undefined && known.suspectedAtHeartbeat >= heartbeat;
	}

	#remove(member: Member): void {
		this.#others.delete(member.entry.incarnation);
		this.#tombstones.add(member.entry.incarnation, member.entry.heartbeat);
	}
}
