/**
 * Maintains the view of the fleet. In a small fleet each instance sends heartbeats to all others. In a large one the number
 * of heartbeats would grow with the square of its size, so each instance checks a few others per round, and updates about
 * members spread from instance to instance by gossip.
 */
import {
	chooseUpdateTargets, chooseRelays, Refutations, defaultFleetTiming, FleetShareTracker, FleetView, LocalState, unknownFleetSize, type FleetMember, type MemberUpdate,
} from '@cairnbank/core/fleet';
import type {Context} from '../../kernel/context.js';
import {splitAddress} from '../../kernel/listen.js';
import type {FleetMessage} from './datagrams.js';
import {FailureDetector} from './failure-detector.js';
import {UpdateQueue, toMemberMessages} from './update-queue.js';

/** The follower sends heartbeats more often than the others, as they report the age of the state that all instances use. */
const followerHeartbeatMs = 300;
/** An instance sends heartbeats more often in the first moments after its start, as others may be starting too. */
const startupHeartbeatMs = 25;
const startupPeriodMs = 200;
/** Minimum time between two requests for the full member list of another instance: a reply takes up to 15 datagrams. */
const membersRequestIntervalMs = 700;
/** After an update more may be in transit for this time, so a difference between member digests is not yet significant. */
const recentUpdateMs = 300;
/** Interval for contacting seeds that aren't known to be alive. It joins two parts of a fleet that have forgotten each other. */
const seedContactIntervalMs = 5000;
const millisecondsPerSecond = 1000;

export type MembershipOptions = {
	readonly context: Pick<Context, 'clock' | 'incarnation' | 'logger' | 'metrics' | 'random' | 'settings'>;
	readonly send: (message: FleetMessage, hosts: readonly string[]) => void;
	/** The state that this instance reports to others. */
	readonly self: () => OwnState;
	/** Whether this instance reads the store on behalf of all. */
	readonly isFollower: () => boolean;
	/** Called when the first update is queued; the caller then calls `sendQueuedUpdates` after `updateDelayMs`. */
	readonly onFirstQueued: () => void;
};

/** State that this instance reports of itself, without the fields that `Membership` adds. */
export type OwnState = Omit<FleetMember, 'revision' | 'membersDigest' | 'fleetSize'>;

/** Requests to the receivers of a heartbeat. */
type HeartbeatOptions = {readonly requestsReply?: boolean; readonly requestsMembers?: boolean; readonly shouldRelayInZone?: boolean};

export class Membership {
	readonly view: FleetView;
	readonly shares: FleetShareTracker;
	readonly #options: MembershipOptions;
	readonly #failureDetector: FailureDetector;
	readonly #updateQueue: UpdateQueue;
	readonly #refutations: Refutations;
	readonly #localState = new LocalState();
	readonly #startedAtMs: number;
	#membersRequestedAtMs = Number.NEGATIVE_INFINITY;
	#loggedShare = '';
	#seedsContactedAtMs: number;

	constructor(options: MembershipOptions) {
		const {clock, random} = options.context;
		this.#options = options;
		this.#startedAtMs = clock.monotonicMs();
		this.#seedsContactedAtMs = this.#startedAtMs;
		this.view = new FleetView(clock);
		this.shares = this.#createShares();
		this.#failureDetector = new FailureDetector(this.view, random);
		this.#updateQueue = new UpdateQueue(clock, options.onFirstQueued);
		this.#refutations = new Refutations(clock);
	}

	/** Time until the next round. */
	get roundIntervalMs(): number {
		if (this.#isStarting) {
			return startupHeartbeatMs;
		}

		return this.#options.isFollower() ? followerHeartbeatMs : defaultFleetTiming.heartbeatMs;
	}

	/** Runs one round: forgets silent members, checks members that are due, and sends heartbeats. */
	runRound(): void {
		const {logger, metrics} = this.#options.context;
		for (const host of this.view.sweep()) {
			logger.info('instance forgotten', {host});
		}

		metrics.liveInstances.set(this.view.live().length + 1);
		this.#reportShare();
		const hostsToAsk = new Set([...this.#hostsToCheck(), ...this.view.candidates(), ...this.#seedsToContact()]);
		this.#publishLocalState();
		this.#sendHeartbeat([...hostsToAsk], {requestsReply: true});
		if (this.sendsHeartbeatsToAll) {
			this.#sendHeartbeatToAll(hostsToAsk);
		}
	}

	/**
	 * Reports the state of this instance at once. A change of its flags that withdraws it from callers goes to all others; in a
	 * large fleet newer state is reported to a few others, which fetch it and report it in turn.
	 */
	announce(): void {
		if (!this.#publishLocalState()) {
			this.#sendLocalState();
		}
	}

	/** Sends a heartbeat to all others at once. */
	announceToAll(): void {
		this.#publishLocalState();
		this.#sendHeartbeatToAll(new Set());
	}

	/**
	 * Sends a message to all others. In a large fleet the instances of other availability zones receive it from a few relays.
	 *
	 * @param make - creates the message for direct receivers or for relays
	 * @param except - hosts that are left out as direct receivers
	 */
	sendToAll(make: (shouldRelayInZone: boolean) => FleetMessage, except: ReadonlySet<string> = new Set()): void {
		const {context: {random}, self, send} = this.#options;
		const {availabilityZone} = self();
		const relays = this.view.isSmall ? [] : chooseRelays(this.view.live(), availabilityZone, random);
		const direct = this.view.isSmall ? this.view.targets() : this.#zoneHosts;
		send(make(false), direct.filter(host => !except.has(host)));
		send(make(true), relays);
	}

	/**
	 * Relays a message of another instance to the members of the own availability zone.
	 *
	 * @param from - host that is left out
	 */
	relayInZone(message: FleetMessage, from: string): void {
		this.#options.send(message, this.#zoneHosts.filter(host => host !== from));
	}

	/** Chooses a few live members at random, to which an update is sent. */
	updateTargets(): readonly string[] {
		const {random} = this.#options.context;
		return chooseUpdateTargets(this.view.live(), this.#options.self().availabilityZone, random);
	}

	/** Whether each heartbeat of this instance goes to all others. */
	get sendsHeartbeatsToAll(): boolean {
		return this.view.isSmall || this.#options.isFollower();
	}

	/** Handles a heartbeat of another instance, and replies to it if necessary. */
	receiveHeartbeat(message: Extract<FleetMessage, {type: 'heartbeat'}>): void {
		const {member, isPeriodic, requestsReply, requestsMembers, shouldRelayInZone} = message;
		this.#failureDetector.heardFrom(member.host);
		const before = this.view.updateOf(member.host);
		const effect = this.view.receiveHeartbeat(member, isPeriodic);
		switch (effect) {
			case 'nothing': {
				break;
			}

			case 'changed': {
				this.#queueUpdate(member.host);
				break;
			}

			case 'appeared': {
				this.#logAppeared([member]);
				this.#queueUpdate(member.host);
				break;
			}

			case 'returned': {
				this.#logAppeared([member]);
				this.#requestRefutation(member, before);
			}
		}

		if (shouldRelayInZone) {
			this.relayInZone({...message, shouldRelayInZone: false}, member.host);
		}

		if (requestsMembers) {
			this.#sendMembers(this.view.updates().filter(({host}) => host !== member.host), [member.host]);
		}

		const shouldRequestMembers = this.#shouldRequestMembers(member);
		if (requestsReply || shouldRequestMembers || effect === 'appeared' || effect === 'returned') {
			this.#sendHeartbeat([member.host], {requestsMembers: shouldRequestMembers});
		}
	}

	/** Applies updates about members that another instance has passed on. */
	receiveUpdates({members}: Extract<FleetMessage, {type: 'members'}>): void {
		const {context, self} = this.#options;
		const {host} = self();
		for (const member of members) {
			if (member.host === host) {
				this.#refuteLoss(member);
			} else if (member.isLost && this.view.wasHeardRecently(member.host, member.incarnation)) {
				// The member is alive, but others accept only a higher revision of its own as a refutation, so it is sent the report.
				this.#options.send({type: 'members', members: [member]}, [member.host]);
			}
		}

		const lostBefore = new Set(members.map(member => member.host).filter(other => this.view.updateOf(other)?.isLost === true));
		const updates = this.view.receiveUpdates(members.filter(member => member.host !== host));
		for (const member of updates.filter(({host: other, isLost}) => !isLost && lostBefore.has(other))) {
			this.#refutations.record(member.host);
		}

		this.#logAppeared(updates.filter(({isLost}) => !isLost));
		for (const {host: lostHost, incarnation} of updates.filter(({isLost}) => isLost)) {
			context.logger.info('instance lost', {host: lostHost, incarnation, source: 'instance'});
		}

		for (const {host: updatedHost} of updates) {
			this.#queueUpdate(updatedHost);
		}
	}

	/** Sends the queued updates to a few other members. */
	sendQueuedUpdates(): void {
		this.#sendMembers(this.#updateQueue.takeAll(), this.updateTargets());
	}

	get #zoneHosts(): readonly string[] {
		const {availabilityZone} = this.#options.self();
		return this.view.live().filter(member => member.availabilityZone === availabilityZone).map(({host}) => host);
	}

	#reportShare(): void {
		const {logger, metrics} = this.#options.context;
		const share = this.shares.current;
		const text = JSON.stringify(share);
		if (text !== this.#loggedShare) {
			this.#loggedShare = text;
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

	#sendLocalState(): void {
		if (this.sendsHeartbeatsToAll) {
			this.#sendHeartbeatToAll(new Set());
		} else {
			this.#sendHeartbeat(this.updateTargets());
		}
	}

	/** Chooses the members to check in this round, and declares those lost that answered none of their checks. */
	#hostsToCheck(): readonly string[] {
		if (this.#isStarting) {
			return [];
		}

		const {asked, lost} = this.#failureDetector.nextRound(this.#options.self().availabilityZone);
		for (const host of lost) {
			this.#declareLost(host);
		}

		return asked;
	}

	#declareLost(host: string): void {
		// An instance that has heard no other instance recently is itself cut off, so it can't determine which members are lost.
		if (!this.view.hasHeardOthersRecently || this.#refutations.hasRefutedRecently(host)) {
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
			this.#queueUpdate(host);
			this.#options.send({type: 'members', members: [this.view.updateOf(host)!]}, [host]);
		}
	}

	/**
	 * Handles a heartbeat of a member that was declared lost. Others accept only a higher revision of the member as a refutation;
	 * if its heartbeat doesn't have one, the member is sent the report that it has to refute.
	 */
	#requestRefutation(member: FleetMember, before: MemberUpdate | undefined): void {
		if (before?.incarnation === member.incarnation && before.revision >= member.revision) {
			this.#options.send({type: 'members', members: [before]}, [member.host]);
		} else {
			this.#queueUpdate(member.host);
		}
	}

	#refuteLoss({incarnation, revision, isLost}: MemberUpdate): void {
		if (isLost && incarnation === this.#options.context.incarnation && this.#localState.refute(revision)) {
			this.#publishOwnUpdate();
		}
	}

	/**
	 * Reports a change of the flags of this instance. All others receive it at once if callers must not be sent here any more;
	 * other changes spread from member to member in a large fleet.
	 *
	 * @returns whether it was sent to all others
	 */
	#publishLocalState(): boolean {
		const change = this.#localState.setFlags(this.#options.self());
		switch (change) {
			case 'unchanged': {
				return false;
			}

			case 'withdrawn': {
				this.#sendHeartbeat(this.view.targets());
				return true;
			}

			case 'changed': {
				if (this.view.isSmall) {
					this.#sendHeartbeat(this.view.targets());
					return true;
				}

				this.#publishOwnUpdate();
				return false;
			}
		}
	}

	#publishOwnUpdate(): void {
		const {
			host, incarnation, availabilityZone, ready, leaving, reachesStore, reachesUpstreams,
		} = this.#options.self();
		const update = {
			host, incarnation, availabilityZone, ready, leaving, reachesStore, reachesUpstreams, revision: this.#localState.revision, isLost: false,
		};
		if (this.view.isSmall) {
			this.#options.send({type: 'members', members: [update]}, this.view.targets());
		} else {
			this.#updateQueue.add(update);
		}
	}

	/** Queues the update about a member to be passed on; a small fleet doesn't need that, as all members receive each other's heartbeats. */
	#queueUpdate(host: string): void {
		const update = this.view.updateOf(host);
		if (update !== undefined && !this.view.isSmall) {
			this.#updateQueue.add(update);
		}
	}

	/**
	 * Whether to request the full member list of a member: its digest differs, and no updates are in transit that may explain
	 * that. Members of other availability zones are asked only if the own one has no other member.
	 */
	#shouldRequestMembers({host, incarnation, availabilityZone, membersDigest}: FleetMember): boolean {
		const {context: {clock}, self} = this.#options;
		const nowMs = clock.monotonicMs();
		const own = self();
		if (membersDigest === this.view.digestWith({...own, revision: this.#localState.revision}) || nowMs - this.#membersRequestedAtMs < membersRequestIntervalMs) {
			return false;
		}

		const knowsOthers = this.view.live().some(member => member.incarnation !== incarnation);
		if (knowsOthers && this.#updateQueue.hasAddedWithin(recentUpdateMs)) {
			return false;
		}

		const isInOwnZone = availabilityZone === own.availabilityZone;
		const hasOthersInOwnZone = this.view.live().some(member => member.host !== host && member.availabilityZone === own.availabilityZone);
		if (!isInOwnZone && hasOthersInOwnZone) {
			return false;
		}

		this.#membersRequestedAtMs = nowMs;
		return true;
	}

	#sendMembers(members: readonly MemberUpdate[], hosts: readonly string[]): void {
		for (const message of toMemberMessages(members)) {
			this.#options.send(message, hosts);
		}
	}

	#seedsToContact(): readonly string[] {
		const {clock, settings: {seeds, host}} = this.#options.context;
		if (clock.monotonicMs() - this.#seedsContactedAtMs < seedContactIntervalMs) {
			return [];
		}

		this.#seedsContactedAtMs = clock.monotonicMs();
		const live = new Set(this.view.live().map(member => member.host));
		return seeds.map(seed => splitAddress(seed).host).filter(seed => seed !== host && !live.has(seed));
	}

	get #isStarting(): boolean {
		return this.#options.context.clock.monotonicMs() - this.#startedAtMs < startupPeriodMs;
	}

	/** @param except - hosts that have just been sent one */
	#sendHeartbeatToAll(except: ReadonlySet<string>): void {
		this.sendToAll(shouldRelayInZone => this.#createHeartbeat({shouldRelayInZone}), except);
	}

	#sendHeartbeat(hosts: readonly string[], options: HeartbeatOptions = {}): void {
		if (hosts.length > 0) {
			this.#options.send(this.#createHeartbeat(options), hosts);
		}
	}

	#createHeartbeat({requestsReply = false, requestsMembers = false, shouldRelayInZone = false}: HeartbeatOptions): FleetMessage {
		const fleetSize = this.shares.current.type === 'held' ? this.view.size.latestReport : unknownFleetSize;
		const member = {...this.#options.self(), fleetSize, revision: this.#localState.revision};
		return {
			type: 'heartbeat',
			member: {...member, membersDigest: this.view.digestWith(member)},
			isPeriodic: this.sendsHeartbeatsToAll,
			requestsReply,
			requestsMembers,
			shouldRelayInZone,
		};
	}

	/** Logs one line for all members that became known together. */
	#logAppeared(members: ReadonlyArray<Pick<FleetMember, 'host' | 'incarnation'>>): void {
		if (members.length > 0) {
			this.#options.context.logger.info('instances appeared', {instances: members.map(({host, incarnation}) => `${host}/${incarnation}`).join(' ')});
		}
	}
}
