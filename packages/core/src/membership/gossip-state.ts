/** Everything that daemons tell each other: members, drain marks and suspects, folded and handed on within bounds. */
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

/** Bytes of a digest's field names and brackets. */
const frameBytes = 140;
/** Shares of the bytes left at their turn, so that a burst of one kind never crowds out heartbeats. */
const drainMarkRatio = 0.4;
const memberRatio = 0.4;
/** Suspects come on top: they are rare, and one that doesn't fit costs an upstream. */
const suspectsBytes = 2048;
/** Greatest answer to a process that has just started; it asks once. */
const wholeDigestBytes = 65_536;

export type GossipStateOptions = {
	readonly table: MemberTable;
	readonly drainMarks: DrainMarkSet;
	readonly timing: MembershipTiming;
};

/** What a digest changed here. */
export type GossipChanges = {
	readonly members: readonly MemberEntry[];
	readonly suspicions: readonly Suspicion[];
	/** Members that a peer suspects although later heartbeats are known here: worth asking at once. */
	readonly disputed: readonly MemberEntry[];
	readonly drainMarks: readonly DrainMark[];
	readonly poisonSuspects: readonly Suspect[];
};

/** Folds digests and makes digests. */
export class GossipState {
	readonly #table: MemberTable;
	readonly #drainMarks: DrainMarkSet;
	readonly #timing: MembershipTiming;
	readonly #memberTurns = new TransmissionQueue<IncarnationId>();
	readonly #heartbeatTurns = new TransmissionQueue<IncarnationId>();
	readonly #markTurns = new TransmissionQueue<UpstreamId>();
	/** Heartbeat of the latest suspicion that was disputed, so that each is checked once. */
	readonly #disputed = new Map<IncarnationId, number>();
	readonly #suspicions = new Map<IncarnationId, {suspicion: Suspicion; left: number}>();

	constructor({table, drainMarks, timing}: GossipStateOptions) {
		this.#table = table;
		this.#drainMarks = drainMarks;
		this.#timing = timing;
	}

	/** Folds a digest in. @returns what was new */
	merge(digest: GossipDigest): GossipChanges {
		const members = [digest.self, ...digest.members].filter(entry => this.#table.mergeEntry(entry));
		for (const [incarnation, heartbeat] of Object.entries(digest.heartbeats)) {
			this.#table.mergeHeartbeat(incarnation as IncarnationId, heartbeat);
		}

		const disputed = digest.suspicions.filter(suspicion => this.#isDisputed(suspicion)).map(({incarnation}) => this.#table.entryOf(incarnation)!);
		const suspicions = digest.suspicions.filter(suspicion => this.#mergeSuspicion(suspicion));

		for (const entry of members) {
			this.#memberTurns.prioritize(entry.incarnation, this.#transmissions);
			this.#heartbeatTurns.prioritize(entry.incarnation, 0);
		}

		const drainMarks = this.#drainMarks.merge(digest.drainMarks);
		this.announceDrainMarks(drainMarks);
		return {
			members, suspicions, disputed, drainMarks, poisonSuspects: digest.poisonSuspects,
		};
	}

	/** Drain marks made or learned here travel first from now on. */
	announceDrainMarks(marks: readonly DrainMark[]): void {
		for (const mark of marks) {
			this.#markTurns.prioritize(mark.upstream, this.#transmissions);
		}
	}

	/** An exchange failed: the suspicion travels on. @returns whether it is news */
	reportUnreachable(incarnation: IncarnationId): boolean {
		const wasSuspected = this.#table.suspected().some(({entry}) => entry.incarnation === incarnation);
		const suspicion = this.#table.reportUnreachable(incarnation);
		if (suspicion && !wasSuspected) {
			this.#passOn(suspicion);
		}

		return suspicion !== undefined && !wasSuspected;
	}

	/** Forgets what has been silent for long. @returns the removed members */
	sweep(): readonly MemberEntry[] {
		const removed = this.#table.sweep();
		const isKnown = (incarnation: IncarnationId) => this.#table.entryOf(incarnation) !== undefined;
		this.#memberTurns.retain(isKnown);
		this.#heartbeatTurns.retain(isKnown);
		for (const incarnation of this.#disputed.keys()) {
			if (!isKnown(incarnation)) {
				this.#disputed.delete(incarnation);
			}
		}

		this.#markTurns.retain(upstream => this.#drainMarks.markOf(upstream) !== undefined);
		return removed;
	}

	/** A digest of bounded size: the sender, news, heartbeats, then a rotating part of the rest. */
	digest(suspects: readonly Suspect[] = []): GossipDigest {
		const budget = this.#openBudget();
		const news = this.#takeNews(suspects, budget);
		const rotatingMark = this.#takeMarks(this.#markTurns.unprioritized().slice(0, 1), budget);
		const rotatingMember = this.#takeMembers(this.#memberTurns.unprioritized().slice(0, 1), budget);
		return {
			...news,
			members: [...news.members, ...rotatingMember],
			heartbeats: this.#takeHeartbeats(budget),
			drainMarks: [...news.drainMarks, ...rotatingMark],
		};
	}

	/** Only the sender and news, to be sent between rounds. */
	urgentDigest(suspects: readonly Suspect[] = []): GossipDigest {
		return {...this.#takeNews(suspects, this.#openBudget()), urgent: true};
	}

	/** Everything, for a process that has just started. */
	fullDigest(poisonSuspects: readonly Suspect[] = []): GossipDigest {
		const budget = new ByteBudget(wholeDigestBytes);
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
		const budget = new ByteBudget(this.#timing.digestBytes - frameBytes);
		budget.tryTake(this.#table.self);
		return budget;
	}

	#takeNews(suspects: readonly Suspect[], budget: ByteBudget): GossipDigest {
		return {
			self: this.#table.self,
			wantsAll: false,
			urgent: false,
			drainMarks: budget.withShare(drainMarkRatio, part => this.#takeMarks(this.#markTurns.prioritized(), part)),
			members: budget.withShare(memberRatio, part => this.#takeMembers(this.#memberTurns.prioritized(), part)),
			suspicions: this.#takeSuspicions(budget),
			poisonSuspects: new ByteBudget(suspectsBytes).takeLeading(suspects),
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
			this.#passOn(suspicion);
		}

		return isChange;
	}

	#passOn(suspicion: Suspicion): void {
		this.#suspicions.set(suspicion.incarnation, {suspicion, left: this.#transmissions});
	}

	#takeMarks(upstreams: readonly UpstreamId[], budget: ByteBudget): DrainMark[] {
		const marks = upstreams.map(upstream => this.#drainMarks.markOf(upstream)).filter(mark => mark !== undefined);
		const taken = budget.takeLeading(marks);
		for (const mark of taken) {
			this.#markTurns.recordSent(mark.upstream);
		}

		return taken;
	}

	#takeMembers(incarnations: readonly IncarnationId[], budget: ByteBudget): MemberEntry[] {
		const entries = incarnations.map(incarnation => this.#table.entryOf(incarnation)).filter(entry => entry !== undefined);
		const taken = budget.takeLeading(entries);
		for (const entry of taken) {
			this.#memberTurns.recordSent(entry.incarnation);
		}

		return taken;
	}

	#takeSuspicions(budget: ByteBudget): Suspicion[] {
		const taken = budget.takeLeading([...this.#suspicions.values()].map(({suspicion}) => suspicion));
		for (const {incarnation} of taken) {
			const held = this.#suspicions.get(incarnation)!;
			held.left -= 1;
			if (held.left <= 0) {
				this.#suspicions.delete(incarnation);
			}
		}

		return taken;
	}

	#takeHeartbeats(budget: ByteBudget): Record<IncarnationId, number> {
		const known = this.#heartbeatTurns.unprioritized()
			.map(incarnation => this.#table.entryOf(incarnation))
			.filter(entry => entry !== undefined)
			.map(entry => ({[entry.incarnation]: entry.heartbeat}));
		const taken = budget.takeLeading(known);
		for (const incarnation of taken.flatMap(item => Object.keys(item))) {
			this.#heartbeatTurns.recordSent(incarnation as IncarnationId);
		}

		return Object.assign({}, ...taken) as Record<IncarnationId, number>;
	}
}
