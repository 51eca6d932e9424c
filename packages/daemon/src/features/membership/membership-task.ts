/** Knows the other instances and the upstreams that drain: gossip, the platform's list, signs from upstreams. */
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
import {DrainProbes} from './drain-probes.js';
import {GossipLoop} from './gossip-loop.js';
import {InstanceListClient} from './instance-list-client.js';
import {listBytesPerSecond} from './list-budget.js';
import {InstanceListPoller} from './instance-list-poller.js';
import {
	countMembers, createMembershipState, type MembershipState, type OwnAddresses,
} from './membership-state.js';
import {MembershipMetrics} from './membership-metrics.js';
import {toMemberStatus} from './to-member-status.js';
import {UpstreamMarks} from './upstream-marks.js';
import {SuspectTurns} from './suspect-turns.js';

const hashDigits = 16;

export type MembershipParts = {
	readonly clients: PeerClients;
	readonly bytes: ControlBytes;
	/** Takes one probe out of the upstream's budget; false where none is left. */
	readonly tryProbe: (upstream: UpstreamId) => boolean;
	/** Asked once the ports are open. */
	ownAddresses(): OwnAddresses;
	callsPerSecond(): number;
	/** All that the poison guard knows, for an instance that has just started. */
	knownSuspects(): readonly Suspect[];
};

export class MembershipTask implements Task, MembershipHandler {
	readonly name = 'membership';
	readonly #context: DaemonContext;
	readonly #parts: MembershipParts;
	readonly #metrics: MembershipMetrics;
	readonly #listAgent: Agent;
	readonly #poller: InstanceListPoller;
	readonly #probes: DrainProbes;
	readonly #suspects = new SuspectTurns();
	#state: MembershipState | undefined;
	#loop: GossipLoop | undefined;
	#configuration: ConfigurationState | undefined;
	#drains: UpstreamMarks | undefined;

	constructor(context: DaemonContext, parts: MembershipParts) {
		this.#context = context;
		this.#parts = parts;
		this.#metrics = new MembershipMetrics(context.metrics, () => countMembers(this.#state));
		this.#listAgent = createControlAgent(parts.bytes, 'instance-list', {connectTimeoutMs: context.settings.instanceList.timeoutMs, connections: 1});
		this.#poller = this.#createPoller();
		this.#probes = new DrainProbes({
			context,
			draining: () => this.#drains?.draining() ?? [],
			tryProbe: parts.tryProbe,
		});
		this.#subscribe();
	}

	/** Members that callers may be told of, the own instance among them while it is in service. */
	offered(): readonly MemberEntry[] {
		return this.#state ? offeredMembers(this.#state.table, this.#state.listedLeaving) : [];
	}

	/** Other instances that answered or were heard of lately; leaving ones among them. */
	peers(): readonly MemberEntry[] {
		return this.#state?.table.reachable().map(({entry}) => entry) ?? [];
	}

	/** Other instances that are thought to be gone. */
	suspected(): readonly MemberEntry[] {
		return this.#state?.table.suspected().map(({entry}) => entry) ?? [];
	}

	/** The other instances, as operators are told of them. */
	statuses(): readonly MemberStatus[] {
		const state = this.#state;
		return state?.table.others().map(member => toMemberStatus(member.entry, state.table.isSuspected(member))) ?? [];
	}

	/** The platform's list as last read. */
	get listed(): readonly ListedInstance[] {
		return this.#poller.latest;
	}

	isDraining(upstream: UpstreamId): boolean {
		return this.#state?.drainMarks.isDraining(upstream) ?? false;
	}

	exchange(digest: GossipDigest): GossipDigest {
		const {gossip} = this.#started();
		this.#takeNews(gossip.merge(digest));
		if (digest.wantsAll) {
			return gossip.fullDigest(this.#parts.knownSuspects());
		}

		return digest.urgent ? gossip.urgentDigest(this.#suspects.take()) : gossip.digest(this.#suspects.take());
	}

	async start(): Promise<Result<void, StartError>> {
		const state = createMembershipState(this.#context, this.#parts.ownAddresses());
		this.#state = state;
		this.#loop = this.#createLoop(state);
		this.#drains = new UpstreamMarks(this.#context, state, () => {
			this.#loop?.pushSoon();
		});
		this.#applyConfiguration();
		await this.#poller.start();
		await this.#loop.start();
		this.#probes.start();
		return ok(undefined);
	}

	async leave(): Promise<void> {
		this.#state?.table.updateSelf({state: 'leaving'});
		this.#state?.table.beat();
		await this.#loop?.pushNow();
	}

	async stop(): Promise<void> {
		this.#poller.stop();
		this.#loop?.stop();
		await this.#probes.stop();
		await this.#listAgent.destroy();
	}

	#started(): MembershipState {
		if (!this.#state) {
			throw new Error('membership has not started yet');
		}

		return this.#state;
	}

	#createPoller(): InstanceListPoller {
		const {settings, clock, random} = this.#context;
		const {url, timeoutMs, pollIntervalMs} = settings.instanceList;
		return new InstanceListPoller({
			client: new InstanceListClient({url, timeoutMs, dispatcher: this.#listAgent}),
			clock,
			random,
			intervalMs: pollIntervalMs,
			bytesPerSecond: () => listBytesPerSecond(settings.membership, this.#state?.table.size ?? 1),
			onList: (instances, requestedAtMs) => {
				this.#takeList(instances, requestedAtMs);
			},
			onResult: result => {
				this.#metrics.listRead(result);
			},
		});
	}

	#createLoop(state: MembershipState): GossipLoop {
		const {settings, random, logger} = this.#context;
		return new GossipLoop({
			state,
			clients: this.#parts.clients,
			random,
			settings: settings.membership,
			candidates: () => peerCandidates(this.#poller.latest, settings.membership.seeds, state.table.self.peerAddress),
			suspects: () => this.#suspects.take(),
			beforeRound: () => {
				state.table.updateSelf({callsPerSecond: this.#parts.callsPerSecond()});
			},
			onNews: news => {
				this.#takeNews(news);
			},
			onResult: (result, peer) => {
				this.#metrics.exchange(result);
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
			this.#drains?.takeSign(message);
		});
		bus.on('suspects-changed', ({suspects}) => {
			if (this.#suspects.renew(suspects).length > 0) {
				void this.#loop?.pushToAll();
			}
		});
		bus.on('tables-taken-over', ({owners}) => {
			this.#state?.table.updateSelf({holdsTablesOf: owners.slice(-maximumTablesHeld)});
			this.#state?.table.beat();
			void this.#loop?.pushToAll();
		});
	}

	#applyConfiguration(): void {
		const [state, configuration] = [this.#state, this.#configuration];
		if (!state || !configuration) {
			return;
		}

		this.#drains?.applyConfiguration(configuration);
		state.table.updateSelf({
			state: 'live',
			configurationOffset: configuration.acceptedOffset,
			configurationHash: hashConfigurationInForce(configuration).slice(0, hashDigits),
		});
	}

	#takeList(instances: readonly ListedInstance[], requestedAtMs: number): void {
		this.#started().listedLeaving.update(instances, this.#context.clock.monotonicMs());
		this.#drains?.takeList(instances, requestedAtMs);
	}

	#takeNews({members, suspicions, disputed, drainMarks, poisonSuspects}: GossipChanges): void {
		for (const {peerAddress} of disputed) {
			this.#loop?.checkSoon(peerAddress);
		}

		this.#drains?.tellTasks(drainMarks, () => 'peer');
		const suspects = this.#suspects.renew(poisonSuspects);
		if (suspects.length > 0) {
			this.#context.bus.send({type: 'suspects-received', suspects});
		}

		if (drainMarks.length > 0 || suspicions.length > 0 || members.some(({state}) => state === 'leaving')) {
			this.#loop?.pushSoon();
		}
	}
}
