/**
 * Keeps the view of the fleet true. In a small fleet each instance sends heartbeats to all others. In a large one, where
 * these would grow with the square of its size, each asks a few others in turn whether they are alive, and what anyone
 * learns of a member is passed on from instance to instance.
 */
import {
	chooseUpdateTargets, chooseRelays, Refutations, defaultFleetTiming, FleetShareTracker, FleetView, LocalState, unknownFleetSize, type FleetMember, type MemberUpdate,
} from '@cairnbank/core/fleet';
import type {Context} from '../../kernel/context.js';
import {splitAddress} from '../../kernel/listen.js';
import type {FleetMessage} from './datagrams.js';
import {MemberWatch} from './member-watch.js';
import {UpdateQueue, toMessages} from './update-queue.js';

/** The follower's heartbeats carry the age of what all know, so they are more frequent than those of the others. */
const followerHeartbeatMs = 300;
/** After its start an instance looks for others more often, as they may be starting too. */
const firstBeatsMs = 25;
const firstBeatsUntilMs = 200;
/** Least time between two questions for all that another instance knows of members: an answer is up to 15 datagrams. */
const membersAskMs = 700;
/** Where an update came within this time, more may be under way, and a difference tells nothing yet. */
const updatesUnderWayMs = 300;
/** How often instances that were named at the start, and aren't known to be alive, are asked: two parts of a fleet that forgot each other meet there. */
const seedAskMs = 5000;
const millisecondsPerSecond = 1000;

export type MembershipOptions = {
	readonly context: Pick<Context, 'clock' | 'incarnation' | 'logger' | 'metrics' | 'random' | 'settings'>;
	readonly send: (message: FleetMessage, hosts: readonly string[]) => void;
	/** This instance as others see it. */
	readonly self: () => OwnState;
	/** Whether this instance reads the store on behalf of all. */
	readonly isFollower: () => boolean;
	/** There are updates to pass on; `passOn` is to be called after `gatherMs`. */
	readonly onUpdate: () => void;
};

/** What this instance says of itself, but for what its membership adds. */
export type OwnState = Omit<FleetMember, 'revision' | 'membersDigest' | 'fleetSize'>;

/** What is asked of those that get a heartbeat. */
type Wants = {readonly wantsReply?: boolean; readonly wantsMembers?: boolean; readonly isForZone?: boolean};

export class Membership {
	readonly view: FleetView;
	readonly shares: FleetShareTracker;
	readonly #options: MembershipOptions;
	readonly #watch: MemberWatch;
	readonly #update: UpdateQueue;
	readonly #contradictions: Refutations;
	readonly #localState = new LocalState();
	readonly #startedAtMs: number;
	#askedForMembersAtMs = Number.NEGATIVE_INFINITY;
	#notedShare = '';
	#askedSeedsAtMs: number;

	constructor(options: MembershipOptions) {
		const {clock, random} = options.context;
		this.#options = options;
		this.#startedAtMs = clock.monotonicMs();
		this.#askedSeedsAtMs = this.#startedAtMs;
		this.view = new FleetView(clock);
		this.shares = this.#createShares();
		this.#watch = new MemberWatch(this.view, random);
		this.#update = new UpdateQueue(clock, options.onUpdate);
		this.#contradictions = new Refutations(clock);
	}

	/** Time until the next beat. */
	get beatMs(): number {
		if (this.#isStarting) {
			return firstBeatsMs;
		}

		return this.#options.isFollower() ? followerHeartbeatMs : defaultFleetTiming.heartbeatMs;
	}

	/** One round: forgets, asks, and tells others of this instance. */
	beat(): void {
		const {logger, metrics} = this.#options.context;
		for (const host of this.view.sweep()) {
			logger.info('instance forgotten', {host});
		}

		metrics.liveInstances.set(this.view.live().length + 1);
		this.#noteShare();
		const asks = new Set([...this.#asked(), ...this.view.candidates(), ...this.#forgottenSeeds()]);
		this.#noteLocalState();
		this.#tell([...asks], {wantsReply: true});
		if (this.isBeatingToAll) {
			this.#tellAll(asks);
		}
	}

	/** Tells others of this instance now: all of them where callers must leave it, a few of newer state, who ask for it and tell others. */
	announce(): void {
		if (!this.#noteLocalState()) {
			this.#announceState();
		}
	}

	/** Tells all others of this instance now. */
	announceToAll(): void {
		this.#noteLocalState();
		this.#tellAll(new Set());
	}

	/** Sends a message to all others, through a few others in the other availability zones of a large fleet. */
	sendToAll(make: (isForZone: boolean) => FleetMessage, except: ReadonlySet<string> = new Set()): void {
		const {context: {random}, self, send} = this.#options;
		const {availabilityZone} = self();
		const relays = this.view.isSmall ? [] : chooseRelays(this.view.live(), availabilityZone, random);
		const direct = this.view.isSmall ? this.view.targets() : this.#nearHosts;
		send(make(false), direct.filter(host => !except.has(host)));
		send(make(true), relays);
	}

	/** Passes a message of another instance on to the own availability zone. */
	passToZone(message: FleetMessage, from: string): void {
		this.#options.send(message, this.#nearHosts.filter(host => host !== from));
	}

	/** Some live others, drawn anew each time. */
	few(): readonly string[] {
		const {random} = this.#options.context;
		return chooseUpdateTargets(this.view.live(), this.#options.self().availabilityZone, random);
	}

	/** Whether all others are told of each heartbeat of this instance. */
	get isBeatingToAll(): boolean {
		return this.view.isSmall || this.#options.isFollower();
	}

	/** A heartbeat came from another instance. */
	heard(message: Extract<FleetMessage, {type: 'heartbeat'}>): void {
		const {member, isBeating, wantsReply, wantsMembers, isForZone} = message;
		this.#watch.heard(member.host);
		const before = this.view.updateOf(member.host);
		const update = this.view.receiveHeartbeat(member, isBeating);
		switch (update) {
			case 'nothing': {
				break;
			}

			case 'changed': {
				this.#passOn(member.host);
				break;
			}

			case 'appeared': {
				this.#logAppeared([member]);
				this.#passOn(member.host);
				break;
			}

			case 'returned': {
				this.#logAppeared([member]);
				this.#reportSuspicion(member, before);
			}
		}

		if (isForZone) {
			this.passToZone({...message, isForZone: false}, member.host);
		}

		if (wantsMembers) {
			this.#sendMembers(this.view.updates().filter(({host}) => host !== member.host), [member.host]);
		}

		const wanted = this.#wantsMembersOf(member);
		if (wantsReply || wanted || update === 'appeared' || update === 'returned') {
			this.#tell([member.host], {wantsMembers: wanted});
		}
	}

	/** Another instance has passed on what it knows of some members. */
	receive({members}: Extract<FleetMessage, {type: 'members'}>): void {
		const {context, self} = this.#options;
		const {host} = self();
		for (const member of members) {
			if (member.host === host) {
				this.#heardOfSelf(member);
			} else if (member.isLost && this.view.isHeardNow(member.host, member.incarnation)) {
				// It lives, and only a higher revision of its own refutes what others hold.
				this.#options.send({type: 'members', members: [member]}, [member.host]);
			}
		}

		const lostBefore = new Set(members.map(member => member.host).filter(other => this.view.updateOf(other)?.isLost === true));
		const update = this.view.receiveUpdates(members.filter(member => member.host !== host));
		for (const member of update.filter(({host: other, isLost}) => !isLost && lostBefore.has(other))) {
			this.#contradictions.record(member.host);
		}

		this.#logAppeared(update.filter(({isLost}) => !isLost));
		for (const {host: lostHost, incarnation} of update.filter(({isLost}) => isLost)) {
			context.logger.info('instance lost', {host: lostHost, incarnation, source: 'instance'});
		}

		for (const {host: newHost} of update) {
			this.#passOn(newHost);
		}
	}

	/** Passes on the updates that were gathered. */
	passOn(): void {
		this.#sendMembers(this.#update.take(), this.few());
	}

	get #nearHosts(): readonly string[] {
		const {availabilityZone} = this.#options.self();
		return this.view.live().filter(member => member.availabilityZone === availabilityZone).map(({host}) => host);
	}

	#noteShare(): void {
		const {logger, metrics} = this.#options.context;
		const share = this.shares.current;
		const noted = JSON.stringify(share);
		if (noted !== this.#notedShare) {
			this.#notedShare = noted;
			metrics.fleetSize.set(share.type === 'held' ? share.instances : 0);
			logger.info('fleet share', {...share});
		}
	}

	#createShares(): FleetShareTracker {
		const {clock, settings} = this.#options.context;
		const seeds = settings.seeds.map(seed => splitAddress(seed).host).filter(host => host !== settings.host);
		return new FleetShareTracker({
			clock,
			isFirstStart: settings.isFirstStart,
			windowMs: () => settings.bounds.retryWindowSeconds * millisecondsPerSecond,
			size: this.view.size,
			hasHeardAllAddresses: () => this.view.candidates().length === 0 && seeds.every(host => this.view.isKnown(host)),
		});
	}

	#announceState(): void {
		if (this.isBeatingToAll) {
			this.#tellAll(new Set());
		} else {
			this.#tell(this.few());
		}
	}

	/** Members that are asked in this round; those that have left all asks unanswered are lost. */
	#asked(): readonly string[] {
		if (this.#isStarting) {
			return [];
		}

		const {asked, lost} = this.#watch.next(this.#options.self().availabilityZone);
		for (const host of lost) {
			this.#lost(host);
		}

		return asked;
	}

	#lost(host: string): void {
		// An instance that hears nobody is cut off itself, and can't tell who is lost.
		if (!this.view.hearsOthers || this.#contradictions.hasRefutedRecently(host)) {
			return;
		}

		const member = this.view.markLost(host);
		if (member === undefined) {
			return;
		}

		const {incarnation} = member;
		this.#options.context.logger.info('instance lost', {host, incarnation, source: 'no answer'});
		if (this.view.isSmall) {
			this.#options.send({type: 'members', members: [this.view.updateOf(host)!]}, this.view.targets());
		} else {
			this.#passOn(host);
			this.#options.send({type: 'members', members: [this.view.updateOf(host)!]}, [host]);
		}
	}

	/** A member that was held for lost is heard: only a higher revision of its own refutes that at the others. */
	#reportSuspicion(member: FleetMember, before: MemberUpdate | undefined): void {
		if (before?.incarnation === member.incarnation && before.revision >= member.revision) {
			this.#options.send({type: 'members', members: [before]}, [member.host]);
		} else {
			this.#passOn(member.host);
		}
	}

	#heardOfSelf({incarnation, revision, isLost}: MemberUpdate): void {
		if (isLost && incarnation === this.#options.context.incarnation && this.#localState.refute(revision)) {
			this.#passOnSelf();
		}
	}

	/**
	 * Reports changes in the state of this instance: to all at once where callers must leave it; the rest spreads from member to
	 * member in a large fleet.
	 *
	 * @returns whether all others were sent it
	 */
	#noteLocalState(): boolean {
		const change = this.#localState.setFlags(this.#options.self());
		switch (change) {
			case 'unchanged': {
				return false;
			}

			case 'withdrawn': {
				this.#tell(this.view.targets());
				return true;
			}

			case 'changed': {
				if (this.view.isSmall) {
					this.#tell(this.view.targets());
					return true;
				}

				this.#passOnSelf();
				return false;
			}
		}
	}

	#passOnSelf(): void {
		const {
			host, incarnation, availabilityZone, ready, leaving, reachesStore,
		} = this.#options.self();
		const update = {
			host, incarnation, availabilityZone, ready, leaving, reachesStore, revision: this.#localState.revision, isLost: false,
		};
		if (this.view.isSmall) {
			this.#options.send({type: 'members', members: [update]}, this.view.targets());
		} else {
			this.#update.add(update);
		}
	}

	/** In a small fleet all hear each other. */
	#passOn(host: string): void {
		const update = this.view.updateOf(host);
		if (update !== undefined && !this.view.isSmall) {
			this.#update.add(update);
		}
	}

	/**
	 * Whether to ask a member for all that it knows: it holds others for alive than this instance does, and no updates are
	 * under way that may explain it. Members of other availability zones are asked only where the own one has none.
	 */
	#wantsMembersOf({host, incarnation, availabilityZone, membersDigest}: FleetMember): boolean {
		const {context: {clock}, self} = this.#options;
		const nowMs = clock.monotonicMs();
		const own = self();
		if (membersDigest === this.view.digestWith({...own, revision: this.#localState.revision}) || nowMs - this.#askedForMembersAtMs < membersAskMs) {
			return false;
		}

		const knowsOthers = this.view.live().some(member => member.incarnation !== incarnation);
		if (knowsOthers && this.#update.hasAddedWithin(updatesUnderWayMs)) {
			return false;
		}

		const isNear = availabilityZone === own.availabilityZone;
		const hasNear = this.view.live().some(member => member.host !== host && member.availabilityZone === own.availabilityZone);
		if (!isNear && hasNear) {
			return false;
		}

		this.#askedForMembersAtMs = nowMs;
		return true;
	}

	#sendMembers(members: readonly MemberUpdate[], hosts: readonly string[]): void {
		for (const message of toMessages(members)) {
			this.#options.send(message, hosts);
		}
	}

	#forgottenSeeds(): readonly string[] {
		const {clock, settings: {seeds, host}} = this.#options.context;
		if (clock.monotonicMs() - this.#askedSeedsAtMs < seedAskMs) {
			return [];
		}

		this.#askedSeedsAtMs = clock.monotonicMs();
		const live = new Set(this.view.live().map(member => member.host));
		return seeds.map(seed => splitAddress(seed).host).filter(seed => seed !== host && !live.has(seed));
	}

	get #isStarting(): boolean {
		return this.#options.context.clock.monotonicMs() - this.#startedAtMs < firstBeatsUntilMs;
	}

	/** @param except - hosts that were told just now */
	#tellAll(except: ReadonlySet<string>): void {
		this.sendToAll(isForZone => this.#heartbeat({isForZone}), except);
	}

	#tell(hosts: readonly string[], wants: Wants = {}): void {
		if (hosts.length > 0) {
			this.#options.send(this.#heartbeat(wants), hosts);
		}
	}

	#heartbeat({wantsReply = false, wantsMembers = false, isForZone = false}: Wants): FleetMessage {
		const fleetSize = this.shares.current.type === 'held' ? this.view.size.latestReport : unknownFleetSize;
		const member = {...this.#options.self(), fleetSize, revision: this.#localState.revision};
		return {
			type: 'heartbeat',
			member: {...member, membersDigest: this.view.digestWith(member)},
			isBeating: this.isBeatingToAll,
			wantsReply,
			wantsMembers,
			isForZone,
		};
	}

	/** One line for many that become known together. */
	#logAppeared(members: ReadonlyArray<Pick<FleetMember, 'host' | 'incarnation'>>): void {
		if (members.length > 0) {
			this.#options.context.logger.info('instances appeared', {instances: members.map(({host, incarnation}) => `${host}/${incarnation}`).join(' ')});
		}
	}
}
