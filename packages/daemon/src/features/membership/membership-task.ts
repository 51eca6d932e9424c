/** Tracks the other instances and the draining upstreams through gossip, the platform's list and answers of upstreams. */
import type {UpstreamId} from '@cairnbank/core';
import type {Suspect} from '@cairnbank/core/poison';
import {hashConfigurationInForce, type ConfigurationState} from '@cairnbank/core/configuration';
import {
	maximumTablesHeld, offeredMembers, peerCandidates, type GossipDigest, type GossipChanges, type ListedInstance, type MemberEntry,
} from '@cairnbank/core/membership';
import type {MembershipHandler} from '@cairnbank/protocol/peers';
import type {MemberStatus} from '@cairnbank/protocol/operators';
import {ok, type Result} from 'neverthrow';
import type {Agent} from 'undici';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {createControlAgent} from '../../metrics/control-agent.js';
import type {ControlBytes} from '../../metrics/control-bytes.js';
import type {PeerClients} from '../peers/peer-clients.js';
import {DrainProber} from './drain-prober.js';
import {GossipLoop} from './gossip-loop.js';
import {InstanceListClient} from './instance-list-client.js';
import {listBytesPerSecond} from './list-bytes-per-second.js';
import {InstanceListPoller} from './instance-list-poller.js';
import {
	countMembers, createMembershipState, type MembershipState, type OwnAddresses,
} from './membership-state.js';
import {MembershipMetrics} from './membership-metrics.js';
import {toMemberStatus} from './to-member-status.js';
import {DrainMarkUpdater} from './drain-mark-updater.js';
import {SuspectQueue} from './suspect-queue.js';

const configurationHashLength = 16;

export type MembershipDependencies = {
	readonly clients: PeerClients;
	readonly bytes: ControlBytes;
	/** Takes one probe from the upstream's budget. Returns false if none is left. */
	readonly tryProbe: (upstream: UpstreamId) => boolean;
	/** Called once the ports are open. */
	ownAddresses(): OwnAddresses;
	callsPerSecond(): number;
	/** Returns the known suspects of the poison guard, for a peer that asks for everything, such as one that has just started. */
	knownSuspects(): readonly Suspect[];
};

export class MembershipTask implements Task, MembershipHandler {
	readonly name = 'membership';
	readonly #context: DaemonContext;
	readonly #dependencies: MembershipDependencies;
	readonly #metrics: MembershipMetrics;
	readonly #instanceListAgent: Agent;
	readonly #instanceListPoller: InstanceListPoller;
	readonly #drainProber: DrainProber;
	readonly #suspectQueue = new SuspectQueue();
	#state: MembershipState | undefined;
	#gossipLoop: GossipLoop | undefined;
	#configuration: ConfigurationState | undefined;
	#drainMarkUpdater: DrainMarkUpdater | undefined;

	constructor(context: DaemonContext, dependencies: MembershipDependencies) {
		this.#context = context;
		this.#dependencies = dependencies;
		this.#metrics = new MembershipMetrics(context.metrics, () => countMembers(this.#state));
		this.#instanceListAgent = createControlAgent(dependencies.bytes, 'instance-list', {connectTimeoutMs: context.settings.instanceList.timeoutMs, connections: 1});
		this.#instanceListPoller = this.#createInstanceListPoller();
		this.#drainProber = new DrainProber({
			context,
			drainingUpstreams: () => this.#drainMarkUpdater?.drainingUpstreams() ?? [],
			tryProbe: dependencies.tryProbe,
		});
		this.#subscribe();
	}

	/** Members whose addresses may be given to callers, including this instance while it is in service. */
	offered(): readonly MemberEntry[] {
		return this.#state ? offeredMembers(this.#state.table, this.#state.leavingAddresses) : [];
	}

	/** Other instances that are reachable, including those that are leaving. */
	peers(): readonly MemberEntry[] {
		return this.#state?.table.reachable().map(({entry}) => entry) ?? [];
	}

	/** Other instances that are suspected to have stopped. */
	suspected(): readonly MemberEntry[] {
		return this.#state?.table.suspected().map(({entry}) => entry) ?? [];
	}

	/** The status of each other instance, for operators. */
	statuses(): readonly MemberStatus[] {
		const state = this.#state;
		return state?.table.others().map(member => toMemberStatus(member.entry, state.table.isSuspected(member))) ?? [];
	}

	/** The platform's list as of the last successful read. */
	get listedInstances(): readonly ListedInstance[] {
		return this.#instanceListPoller.latest;
	}

	isDraining(upstream: UpstreamId): boolean {
		return this.#state?.drainMarks.isDraining(upstream) ?? false;
	}

	exchange(digest: GossipDigest): GossipDigest {
		const {gossip} = this.#requireState();
		this.#applyChanges(gossip.merge(digest));
		if (digest.wantsAll) {
			return gossip.fullDigest(this.#dependencies.knownSuspects());
		}

		return digest.urgent ? gossip.urgentDigest(this.#suspectQueue.takeForDigest()) : gossip.digest(this.#suspectQueue.takeForDigest());
	}

	async start(): Promise<Result<void, StartError>> {
		const state = createMembershipState(this.#context, this.#dependencies.ownAddresses());
		this.#state = state;
		this.#gossipLoop = this.#createGossipLoop(state);
		this.#drainMarkUpdater = new DrainMarkUpdater(this.#context, state, () => {
			this.#gossipLoop?.schedulePush();
		});
		this.#applyConfiguration();
		await this.#instanceListPoller.start();
		await this.#gossipLoop.start();
		this.#drainProber.start();
		return ok(undefined);
	}

	async leave(): Promise<void> {
		this.#state?.table.updateSelf({state: 'leaving'});
		this.#state?.table.incrementHeartbeat();
		await this.#gossipLoop?.pushToSome();
	}

	async stop(): Promise<void> {
		this.#instanceListPoller.stop();
		this.#gossipLoop?.stop();
		await this.#drainProber.stop();
		await this.#instanceListAgent.destroy();
	}

	#requireState(): MembershipState {
		if (!this.#state) {
			throw new Error('the membership task has not started yet');
		}

		return this.#state;
	}

	#createInstanceListPoller(): InstanceListPoller {
		const {settings, clock, random} = this.#context;
		const {url, timeoutMs, pollIntervalMs} = settings.instanceList;
		return new InstanceListPoller({
			client: new InstanceListClient({url, timeoutMs, dispatcher: this.#instanceListAgent}),
			clock,
			random,
			intervalMs: pollIntervalMs,
			bytesPerSecond: () => listBytesPerSecond(settings.membership, this.#state?.table.size ?? 1),
			onList: (instances, requestedAtMs) => {
				this.#applyInstanceList(instances, requestedAtMs);
			},
			onResult: result => {
				this.#metrics.countListRead(result);
			},
		});
	}

	#createGossipLoop(state: MembershipState): GossipLoop {
		const {settings, random, logger} = this.#context;
		return new GossipLoop({
			state,
			clients: this.#dependencies.clients,
			random,
			settings: settings.membership,
			candidates: () => peerCandidates(this.#instanceListPoller.latest, settings.membership.seeds, state.table.self.peerAddress),
			suspects: () => this.#suspectQueue.takeForDigest(),
			beforeRound: () => {
				state.table.updateSelf({callsPerSecond: this.#dependencies.callsPerSecond()});
			},
			onChanges: changes => {
				this.#applyChanges(changes);
			},
			onResult: (result, peer) => {
				this.#metrics.countExchange(result);
				if (result === 'unauthorized') {
					logger.warn('peer refuses the secret', {peer});
				}
			},
		});
	}

	#subscribe(): void {
		const {bus} = this.#context;
		bus.on('configuration-in-force', ({configuration}) => {
			this.#configuration = configuration;
			this.#applyConfiguration();
		});
		bus.on('upstream-sign', message => {
			this.#drainMarkUpdater?.applySign(message);
		});
		bus.on('suspects-changed', ({suspects}) => {
			if (this.#suspectQueue.add(suspects).length > 0) {
				void this.#gossipLoop?.pushToAll();
			}
		});
		bus.on('tables-taken-over', ({owners}) => {
			this.#state?.table.updateSelf({holdsTablesOf: owners.slice(-maximumTablesHeld)});
			this.#state?.table.incrementHeartbeat();
			void this.#gossipLoop?.pushToAll();
		});
	}

	#applyConfiguration(): void {
		const [state, configuration] = [this.#state, this.#configuration];
		if (!state || !configuration) {
			return;
		}

		this.#drainMarkUpdater?.applyConfiguration(configuration);
		state.table.updateSelf({
			state: 'live',
			configurationOffset: configuration.acceptedOffset,
			configurationHash: hashConfigurationInForce(configuration).slice(0, configurationHashLength),
		});
	}

	#applyInstanceList(instances: readonly ListedInstance[], requestedAtMs: number): void {
		this.#requireState().leavingAddresses.update(instances, this.#context.clock.monotonicMs());
		this.#drainMarkUpdater?.applyInstanceList(instances, requestedAtMs);
	}

	#applyChanges({members, suspicions, disputed, drainMarks, poisonSuspects}: GossipChanges): void {
		for (const {peerAddress} of disputed) {
			this.#gossipLoop?.scheduleCheck(peerAddress);
		}

		this.#drainMarkUpdater?.notifyTasks(drainMarks, () => 'peer');
		const suspects = this.#suspectQueue.add(poisonSuspects);
		if (suspects.length > 0) {
			this.#context.bus.send({type: 'suspects-received', suspects});
		}

		if (drainMarks.length > 0 || suspicions.length > 0 || members.some(({state}) => state === 'leaving')) {
			this.#gossipLoop?.schedulePush();
		}
	}
}
