/** Merges gossip from other daemons (members, drain marks, poison suspects) and forwards it in digests of bounded size. */
import type {IncarnationId, UpstreamId} from '../model/ids.js';
import type {Suspect} from '../poison/suspect.js';
import {ByteBudget} from './byte-budget.js';
import type {DrainMark} from './drain-mark.js';
import type {DrainMarkSet} from './drain-mark-set.js';
import type {GossipDigest} from './gossip-digest.js';
import type {MemberEntry} from './member-entry.js';
import type {MemberTable} from './member-table.js';
import {updateTransmissions, type MembershipTiming} from './membership-timing.js';
import {TransmissionQueue} from './transmission-queue.js';
import type {Suspicion} from './suspicion.js';

/** Bytes of a digest's JSON apart from its items: field names, brackets and flags. */
const envelopeBytes = 140;
/**
 * Shares of the bytes that remain when drain marks and then members are added, so that many updates of one kind never
 * displace the heartbeats.
 */
const drainMarkRatio = 0.4;
const memberRatio = 0.4;
/** Bytes for poison suspects, in addition to the digest's limit: they are rare, and each one not sent can crash another upstream. */
const maximumSuspectsBytes = 2048;
/** Size limit of a full digest, which is requested only from instances not known as reachable, such as after a start. */
const maximumFullDigestBytes = 65_536;

export type GossipStateOptions = {
	readonly table: MemberTable;
	readonly drainMarks: DrainMarkSet;
	readonly timing: MembershipTiming;
};

/** Changes made by merging a digest. */
export type GossipChanges = {
	readonly members: readonly MemberEntry[];
	readonly suspicions: readonly Suspicion[];
	/** Members that a peer suspects although a later heartbeat is known here; they should be contacted at once. */
	readonly disputed: readonly MemberEntry[];
	readonly drainMarks: readonly DrainMark[];
	readonly poisonSuspects: readonly Suspect[];
};

/** Merges received digests and creates digests to send. */
export class GossipState {
	readonly #table: MemberTable;
	readonly #drainMarks: DrainMarkSet;
	readonly #timing: MembershipTiming;
	readonly #memberQueue = new TransmissionQueue<IncarnationId>();
	readonly #heartbeatQueue = new TransmissionQueue<IncarnationId>();
	readonly #markQueue = new TransmissionQueue<UpstreamId>();
	/** Heartbeat of the latest disputed suspicion by incarnation, so that each suspicion is checked only once. */
	readonly #disputed = new Map<IncarnationId, number>();
	readonly #suspicions = new Map<IncarnationId, {suspicion: Suspicion; remainingSends: number}>();

	constructor({table, drainMarks, timing}: GossipStateOptions) {
		this.#table = table;
		this.#drainMarks = drainMarks;
		this.#timing = timing;
	}

	/** Merges a received digest. @returns the changes that it made */
	merge(digest: GossipDigest): GossipChanges {
		const members = [digest.self, ...digest.members].filter(entry => this.#table.mergeEntry(entry));
		for (const [incarnation, heartbeat] of Object.entries(digest.heartbeats)) {
			this.#table.mergeHeartbeat(incarnation as IncarnationId, heartbeat);
		}

		const disputed = digest.suspicions.filter(suspicion => this.#isDisputed(suspicion)).map(({incarnation}) => this.#table.entryOf(incarnation)!);
		const suspicions = digest.suspicions.filter(suspicion => this.#mergeSuspicion(suspicion));

		for (const entry of members) {
			this.#memberQueue.prioritize(entry.incarnation, this.#transmissions);
			this.#heartbeatQueue.prioritize(entry.incarnation, 0);
		}

		const drainMarks = this.#drainMarks.merge(digest.drainMarks);
		this.announceDrainMarks(drainMarks);
		return {
			members, suspicions, disputed, drainMarks, poisonSuspects: digest.poisonSuspects,
		};
	}

	/** Queues new drain marks to be sent before others. */
	announceDrainMarks(marks: readonly DrainMark[]): void {
		for (const mark of marks) {
			this.#markQueue.prioritize(mark.upstream, this.#transmissions);
		}
	}

	/** Records a failed exchange and queues the suspicion for sending. @returns whether the member was not suspected before */
	reportUnreachable(incarnation: IncarnationId): boolean {
		const wasSuspected = this.#table.suspected().some(({entry}) => entry.incarnation === incarnation);
		const suspicion = this.#table.reportUnreachable(incarnation);
		if (suspicion && !wasSuspected) {
			this.#queueSuspicion(suspicion);
		}

		return suspicion !== undefined && !wasSuspected;
	}

	/** Removes members that were not heard from for `removeAfterMs`. @returns the removed members */
	sweep(): readonly MemberEntry[] {
		const removed = this.#table.sweep();
		const isKnown = (incarnation: IncarnationId) => this.#table.entryOf(incarnation) !== undefined;
		this.#memberQueue.retain(isKnown);
		this.#heartbeatQueue.retain(isKnown);
		for (const incarnation of this.#disputed.keys()) {
			if (!isKnown(incarnation)) {
				this.#disputed.delete(incarnation);
			}
		}

		this.#markQueue.retain(upstream => this.#drainMarks.markOf(upstream) !== undefined);
		return removed;
	}

	/** Creates a digest of bounded size: this process's entry, updates, one drain mark and one member in rotation, and heartbeats. */
	digest(suspects: readonly Suspect[] = []): GossipDigest {
		const budget = this.#openBudget();
		const updates = this.#takeUpdates(suspects, budget);
		const rotatingMark = this.#takeMarks(this.#markQueue.unprioritized().slice(0, 1), budget);
		const rotatingMember = this.#takeMembers(this.#memberQueue.unprioritized().slice(0, 1), budget);
		return {
			...updates,
			members: [...updates.members, ...rotatingMember],
			heartbeats: this.#takeHeartbeats(budget),
			drainMarks: [...updates.drainMarks, ...rotatingMark],
		};
	}

	/** Creates a digest with only this process's entry and updates, to be sent between rounds. */
	urgentDigest(suspects: readonly Suspect[] = []): GossipDigest {
		return {...this.#takeUpdates(suspects, this.#openBudget()), urgent: true};
	}

	/** Creates a digest with all members and drain marks, for a daemon that may not know all of them, such as after a start. */
	fullDigest(poisonSuspects: readonly Suspect[] = []): GossipDigest {
		const budget = new ByteBudget(maximumFullDigestBytes);
		return {
			self: this.#table.self,
			wantsAll: false,
			urgent: false,
			members: budget.takeLeading(this.#table.others().map(member => member.entry)),
			heartbeats: {},
			suspicions: [],
			drainMarks: budget.takeLeading(this.#drainMarks.all()),
			poisonSuspects: budget.takeLeading(poisonSuspects),
		};
	}

	get #transmissions(): number {
		return updateTransmissions(this.#table.size);
	}

	#openBudget(): ByteBudget {
		const budget = new ByteBudget(this.#timing.digestBytes - envelopeBytes);
		budget.tryTake(this.#table.self);
		return budget;
	}

	#takeUpdates(suspects: readonly Suspect[], budget: ByteBudget): GossipDigest {
		return {
			self: this.#table.self,
			wantsAll: false,
			urgent: false,
			drainMarks: budget.withShare(drainMarkRatio, share => this.#takeMarks(this.#markQueue.prioritized(), share)),
			members: budget.withShare(memberRatio, share => this.#takeMembers(this.#memberQueue.prioritized(), share)),
			suspicions: this.#takeSuspicions(budget),
			poisonSuspects: new ByteBudget(maximumSuspectsBytes).takeLeading(suspects),
			heartbeats: {},
		};
	}

	#isDisputed({incarnation, heartbeat}: Suspicion): boolean {
		const known = this.#table.entryOf(incarnation);
		if (!known || incarnation === this.#table.self.incarnation || known.heartbeat <= heartbeat || (this.#disputed.get(incarnation) ?? -1) >= heartbeat) {
			return false;
		}

		this.#disputed.set(incarnation, heartbeat);
		return true;
	}

	#mergeSuspicion(suspicion: Suspicion): boolean {
		if (suspicion.incarnation === this.#table.self.incarnation) {
			this.#table.refute(suspicion.heartbeat);
			return false;
		}

		const isChange = this.#table.mergeSuspicion(suspicion);
		if (isChange) {
			this.#queueSuspicion(suspicion);
		}

		return isChange;
	}

	#queueSuspicion(suspicion: Suspicion): void {
		this.#suspicions.set(suspicion.incarnation, {suspicion, remainingSends: this.#transmissions});
	}

	#takeMarks(upstreams: readonly UpstreamId[], budget: ByteBudget): DrainMark[] {
		const marks = upstreams.map(upstream => this.#drainMarks.markOf(upstream)).filter(mark => mark !== undefined);
		const taken = budget.takeLeading(marks);
		for (const mark of taken) {
			this.#markQueue.recordSent(mark.upstream);
		}

		return taken;
	}

	#takeMembers(incarnations: readonly IncarnationId[], budget: ByteBudget): MemberEntry[] {
		const entries = incarnations.map(incarnation => this.#table.entryOf(incarnation)).filter(entry => entry !== undefined);
		const taken = budget.takeLeading(entries);
		for (const entry of taken) {
			this.#memberQueue.recordSent(entry.incarnation);
		}

		return taken;
	}

	#takeSuspicions(budget: ByteBudget): Suspicion[] {
		const taken = budget.takeLeading([...this.#suspicions.values()].map(({suspicion}) => suspicion));
		for (const {incarnation} of taken) {
			const queued = this.#suspicions.get(incarnation)!;
			queued.remainingSends -= 1;
			if (queued.remainingSends <= 0) {
				this.#suspicions.delete(incarnation);
			}
		}

		return taken;
	}

	#takeHeartbeats(budget: ByteBudget): Record<IncarnationId, number> {
		const known = this.#heartbeatQueue.unprioritized()
			.map(incarnation => this.#table.entryOf(incarnation))
			.filter(entry => entry !== undefined)
			.map(entry => ({[entry.incarnation]: entry.heartbeat}));
		const taken = budget.takeLeading(known);
		for (const incarnation of taken.flatMap(item => Object.keys(item))) {
			this.#heartbeatQueue.recordSent(incarnation as IncarnationId);
		}

		return Object.assign({}, ...taken) as Record<IncarnationId, number>;
	}
}
