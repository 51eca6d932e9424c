/** Runs the communication between instances: membership, changes of the registry, and the choice of the instance that reads the store. */
import type {AvailabilityZoneId, Fingerprint} from '@cairnbank/core';
import type {LimiterFleet, LimitMessage} from '@cairnbank/core/account-limits';
import type {CrashRecord} from '@cairnbank/core/crash-record';
import type {CrashTable} from '@cairnbank/core/crash-table';
import {followerRank, isFirstByHash, type FleetShareTracker} from '@cairnbank/core/fleet';
import {subsetPositionOf, type SubsetPosition} from '@cairnbank/core/placement';
import type {KeyedChanges, RegisteredUpstream, RemovalConfidence} from '@cairnbank/core/registry';
import {ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {splitAddress} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {StateStore} from '../../ports/index.js';
import {describeFleet} from '../account-limits/known-fleet.js';
import {maximumRelayHeaderBytes, relayPath} from '../relay/relay-codec.js';
import type {RateReport} from '../upstreams/rate-limits.js';
import type {StateTask} from '../state/state-task.js';
import type {StoreReaderRole} from '../state/topic-reader.js';
import type {FleetMessage} from './datagrams.js';
import {dispatchMessage, type MessageHandlers} from './dispatch-message.js';
import {FleetSocket} from './fleet-socket.js';
import {Membership, type OwnState} from './membership.js';
import {updateDelayMs} from './update-queue.js';
import {PeerServer, type PeerHandler} from './peer-server.js';
import {fetchState, StateExchange, statePath} from './state-exchange.js';
import {StateFetcher} from './state-fetcher.js';
import {StoreEntry} from './store-entry.js';
import {SuspectExchange} from './suspect-exchange.js';
import {ReaderRoleTracker} from './reader-role-tracker.js';

export type FleetTaskOptions = {
	readonly context: Context;
	readonly store: StateStore;
	readonly state: () => StateTask;
	/** Returns the records of requests under which upstreams crashed. */
	readonly suspects: () => Pick<CrashTable, 'digest' | 'shared'>;
	/** Called when another instance reports upstreams that crashed under requests, or that a request is no longer suspected. */
	readonly onSuspects: (records: readonly CrashRecord[]) => void;
	/** Called when another instance reports the rate limit that an upstream advertises. */
	readonly onRateReport: (report: RateReport) => void;
	/** Called for each message of another instance about the limits of accounts. */
	readonly onLimitMessage: (message: LimitMessage, from: string) => void;
	/** Returns whether this instance reaches upstreams on connections of its own. */
	readonly reachesUpstreams: () => boolean;
	/** Handles requests that other instances ask this one to pass on. */
	readonly relay: PeerHandler;
	/** Called when the role of this instance as a reader of the store has changed. */
	readonly onRoleChanged: () => void;
};

export class FleetTask implements Task {
	readonly name = 'fleet';
	readonly #options: FleetTaskOptions;
	readonly #handlers: MessageHandlers;
	readonly #membership: Membership;
	readonly #peerServer: PeerServer;
	readonly #socket: FleetSocket;
	readonly #suspectExchange: SuspectExchange;
	readonly #storeEntry: StoreEntry;
	readonly #stateFetcher: StateFetcher;
	readonly #readerRoles: ReaderRoleTracker;
	/** True if the settings name other instances as seeds, and not this one. */
	readonly #hasSeeds: boolean;
	/** Hosts of the other instances that the settings name. */
	readonly #seeds: readonly string[];
	readonly #startedAtMs: number;
	#roundTimer: NodeJS.Timeout | undefined;
	#updateTimer: NodeJS.Timeout | undefined;
	#isLeaving = false;
	#isStopped = false;

	constructor(options: FleetTaskOptions) {
		this.#options = options;
		this.#handlers = this.#createHandlers();
		const {settings} = options.context;
		const seeds = settings.seeds.map(seed => splitAddress(seed).host);
		this.#hasSeeds = seeds.length > 0 && !seeds.includes(settings.host);
		this.#seeds = seeds.filter(seed => seed !== settings.host);
		this.#startedAtMs = options.context.clock.monotonicMs();
		const stateExchange = new StateExchange({
			context: options.context,
			answerQuery: query => options.state().answerQuery(query),
			revisionKey: () => options.state().revisionKey,
		});
		this.#peerServer = new PeerServer({
			context: options.context,
			maximumConnections: options.context.machineLimits.peerConnections,
			maximumHeaderBytes: maximumRelayHeaderBytes,
			handlers: {
				[statePath]: async (request, response) => stateExchange.answer(request, response),
				[relayPath]: options.relay,
			},
		});
		this.#socket = new FleetSocket(options.context, (message, from) => {
			dispatchMessage(message, from, this.#handlers);
		});
		this.#suspectExchange = new SuspectExchange({
			context: options.context,
			digest: () => options.suspects().digest,
			records: () => options.suspects().shared(),
			send: (message, hosts) => {
				this.#socket.send(message, hosts);
			},
		});
		this.#membership = new Membership({
			context: options.context,
			send: (message, hosts) => {
				this.#socket.send(message, hosts);
			},
			self: () => this.self,
			isFollower: () => this.#readerRoles.isFollower,
			onFirstQueued: () => {
				this.#updateTimer = setTimeout(() => {
					this.#membership.sendQueuedUpdates();
				}, updateDelayMs);
			},
		});
		this.#readerRoles = new ReaderRoleTracker({
			context: options.context,
			self: () => this.self,
			view: () => this.#membership.view,
			onChanged: options.onRoleChanged,
		});
		this.#stateFetcher = new StateFetcher({
			context: options.context,
			compare: member => options.state().compare(member, this.#readerRoles.follower === member.incarnation),
			isFirstOfZone: () => this.#readerRoles.isFirstOfZone,
			fetch: async (host, query) => fetchState(host, options.context.settings.peers.statePort, query),
			adopt(state) {
				options.state().adopt(state);
			},
		});
		this.#storeEntry = new StoreEntry({
			context: options.context,
			store: options.store,
			hasSeeds: this.#hasSeeds,
			hasHeardOthers: () => this.#membership.view.size.greatest > 1,
			rank: () => followerRank(this.self.incarnation, this.#membership.view.live()),
			onInstancesFound: hosts => {
				this.#membership.view.addCandidates(hosts);
			},
		});
	}

	async start(): Promise<Result<void, StartError>> {
		const {settings} = this.#options.context;
		const exchange = await this.#peerServer.start(`${settings.host}:${settings.peers.statePort}`);
		if (exchange.isErr()) {
			return exchange;
		}

		const bound = await this.#socket.start();
		if (bound.isErr()) {
			return bound;
		}

		this.#membership.view.addCandidates(this.#seeds);
		this.#runRound();
		this.#storeEntry.start();
		return ok(undefined);
	}

	leave(): void {
		this.#isLeaving = true;
		this.#peerServer.leave();
		this.announce();
	}

	async drain(): Promise<void> {
		await this.#peerServer.drain();
	}

	isBusy(): boolean {
		return this.#peerServer.isBusy;
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#roundTimer);
		clearTimeout(this.#updateTimer);
		this.#storeEntry.stop();
		this.#stateFetcher.stop();
		this.#socket.stop();
		this.#peerServer.stop();
	}

	/** The state that this instance reports to others. */
	get self(): OwnState {
		const {settings, incarnation} = this.#options.context;
		const state = this.#options.state();
		return {
			incarnation,
			host: settings.host,
			availabilityZone: settings.availabilityZone as AvailabilityZoneId,
			ready: state.canServe && !this.#isLeaving,
			leaving: this.#isLeaving,
			...state.describe(),
			reachesUpstreams: this.#options.reachesUpstreams(),
			suspectsDigest: this.#options.suspects().digest,
		};
	}

	/** Role of this instance as a reader of the store. */
	get readerRole(): StoreReaderRole {
		const {isFollower, isStandby, readersAheadInZone} = this.#readerRoles;
		return {
			isFollower,
			isStandby,
			readersAheadInZone,
			isKnownToOthers: this.#membership.view.live().some(({ready}) => ready),
			hasSeeds: this.#hasSeeds,
		};
	}

	/** Instances that may be offered to callers, including this one if it is ready. */
	offered(): readonly OwnState[] {
		const {self} = this;
		return self.ready ? [self, ...this.#membership.view.offered()] : this.#membership.view.offered();
	}

	/** Position of this instance among the live ones of its availability zone or of the whole fleet. */
	subsetPosition(among: 'zone' | 'fleet'): SubsetPosition {
		const {host, availabilityZone} = this.#options.context.settings;
		const live = this.#membership.view.live();
		const others = among === 'zone' ? live.filter(member => member.availabilityZone === availabilityZone) : live;
		return subsetPositionOf(host, others.map(other => other.host));
	}

	/** The other live instances that serve callers. */
	others(): readonly OwnState[] {
		return this.#membership.view.offered();
	}

	/** Returns the known part of the fleet, for the limits of accounts. */
	get limiterFleet(): LimiterFleet {
		return describeFleet({
			view: this.#membership.view,
			others: this.others().map(({host}) => host),
			seeds: this.#seeds,
			sinceStartMs: this.#options.context.clock.monotonicMs() - this.#startedAtMs,
			isLeaving: this.#isLeaving,
		});
	}

	/** Sends a message about the limits of accounts to another instance. */
	sendLimitMessage(message: LimitMessage, host: string): void {
		this.#socket.send({type: 'limit', message}, [host]);
	}

	/** Returns whether a live instance runs at this address. */
	isMember(host: string): boolean {
		return this.#membership.view.live().some(member => member.host === host);
	}

	/** The share of fleet-wide limits that this instance may use. */
	get shares(): FleetShareTracker {
		return this.#membership.shares;
	}

	/** Reports changes of the registry to others if they fit into a message; instances fetch what they miss. */
	announceChanges(changes: KeyedChanges<RegisteredUpstream>, confidence: RemovalConfidence): void {
		const {storeEpoch: epoch} = this.#options.state().describe();
		const make = (shouldRelayInZone: boolean): FleetMessage => ({
			type: 'changes', epoch, changes, confidence, shouldRelayInZone,
		});
		if (this.#membership.sendsHeartbeatsToAll) {
			this.#membership.sendToAll(make);
		} else {
			this.#socket.send(make(false), this.#membership.updateTargets());
		}
	}

	/** Enters this instance in the store again; called when the store was restored from an older copy, which may lack the entry. */
	renewStoreEntry(): void {
		this.#storeEntry.renew();
	}

	/** Reports to all others the rate limit that an upstream advertises. */
	announceRate(report: RateReport): void {
		this.#membership.sendToAll(shouldRelayInZone => ({type: 'rate', report, shouldRelayInZone}));
	}

	/** Reports to all others what this instance has learned of a request under which upstreams crashed. */
	announceSuspect(record: CrashRecord): void {
		this.#socket.send({type: 'suspects', records: [record]}, this.#membership.view.targets());
	}

	/** Returns whether this instance comes first of all that serve callers in an order that differs for each request (rendezvous hashing). */
	isFirstFor(fingerprint: Fingerprint): boolean {
		return isFirstByHash(fingerprint, this.#options.context.settings.host, this.others().map(({host}) => host));
	}

	/** Reports the state of this instance to others at once. */
	announce(): void {
		this.#membership.announce();
	}

	/** Sends a heartbeat to all others at once. */
	announceToAll(): void {
		this.#membership.announceToAll();
	}

	#runRound(): void {
		if (this.#isStopped) {
			return;
		}

		this.#membership.runRound();
		this.#roundTimer = setTimeout(() => {
			this.#runRound();
		}, this.#membership.roundIntervalMs);
	}

	#createHandlers(): MessageHandlers {
		const {context, state, onSuspects, onRateReport, onLimitMessage} = this.#options;
		return {
			onHeartbeat: message => {
				if (message.member.incarnation !== context.incarnation) {
					this.#membership.receiveHeartbeat(message);
					this.#stateFetcher.receiveHeartbeat(message.member);
					this.#suspectExchange.receiveHeartbeat(message.member);
				}
			},
			onMembers: message => {
				this.#membership.receiveUpdates(message);
			},
			onSuspects,
			onSuspectsRequest: from => {
				this.#suspectExchange.receiveRequest(from);
			},
			onRateReport,
			onChanges(message) {
				state().receiveChanges(message);
			},
			onLimitMessage,
			relayInZone: message => {
				this.#membership.relayInZone(message, '');
			},
		};
	}
}
