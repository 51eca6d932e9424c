/** Owns the traffic between instances: heartbeats, news of the registry, the search for other instances. */
import type {AvailabilityZoneId, IncarnationId, InstanceId} from '@cairnbank/core';
import {
	chooseFollower, defaultFleetTiming, FleetView, type FleetMember,
} from '@cairnbank/core/fleet';
import type {KeyedChanges, RegisteredUpstream, RemovalTrust} from '@cairnbank/core/registry';
import {ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {splitAddress} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {StateStore} from '../../ports/index.js';
import type {Crash} from '../calls/poison-guard.js';
import type {StateTask} from '../state/state-task.js';
import type {FleetMessage} from './datagrams.js';
import {FleetSocket} from './fleet-socket.js';
import {fetchState, StateExchange} from './state-exchange.js';
import {StateAsker} from './state-asker.js';
import {StoreEntry} from './store-entry.js';

/** The follower's heartbeats carry the age of what all know, so they are more frequent than those of the others. */
const followerHeartbeatMs = 300;
/** How long a choice of the follower holds, so that not every message takes a new one. */
const followerChoiceMs = 100;

export type FleetTaskOptions = {
	readonly context: Context;
	readonly store: StateStore;
	readonly state: () => StateTask;
	/** Another instance saw an upstream crash under a request. */
	readonly onCrash: (crash: Crash) => void;
	/** No process has entered the store from this instance's place before. */
	readonly onFirstInPlace: () => void;
};

export class FleetTask implements Task {
	readonly name = 'fleet';
	readonly #options: FleetTaskOptions;
	readonly #view: FleetView;
	readonly #exchange: StateExchange;
	readonly #socket: FleetSocket;
	readonly #storeEntry: StoreEntry;
	readonly #asker: StateAsker;
	#beatTimer: NodeJS.Timeout | undefined;
	#isLeaving = false;
	#chosenFollower: IncarnationId | undefined;
	#followerChosenAtMs = Number.NEGATIVE_INFINITY;
	#isStopped = false;

	constructor(options: FleetTaskOptions) {
		this.#options = options;
		this.#view = new FleetView(options.context.clock);
		this.#exchange = new StateExchange(query => options.state().share(query));
		this.#socket = new FleetSocket(options.context, message => {
			this.#received(message);
		});
		this.#asker = new StateAsker({
			context: options.context,
			compare: member => options.state().compare(member, this.#follower === member.incarnation),
			isFirstOfZone: () => this.#isFirstOfZone,
			fetch: async (host, query) => fetchState(host, options.context.settings.peers.statePort, query),
			adopt(state) {
				options.state().adopt(state);
			},
		});
		this.#storeEntry = new StoreEntry({
			context: options.context,
			store: options.store,
			onFirstInPlace: options.onFirstInPlace,
			onOthers: hosts => {
				this.#view.addCandidates(hosts);
			},
		});
	}

	async start(): Promise<Result<void, StartError>> {
		const {settings} = this.#options.context;
		const exchange = await this.#exchange.start(`${settings.host}:${settings.peers.statePort}`);
		if (exchange.isErr()) {
			return exchange;
		}

		const bound = await this.#socket.start();
		if (bound.isErr()) {
			return bound;
		}

		this.#view.addCandidates(settings.seeds.map(seed => splitAddress(seed).host).filter(host => host !== settings.host));
		this.#beat();
		this.#storeEntry.start();
		return ok(undefined);
	}

	leave(): void {
		this.#isLeaving = true;
		this.announce();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#beatTimer);
		this.#storeEntry.stop();
		this.#asker.stop();
		this.#socket.stop();
		this.#exchange.stop();
	}

	/** This instance as others see it. */
	get self(): FleetMember {
		const {settings, incarnation} = this.#options.context;
		const state = this.#options.state();
		return {
			instance: settings.instanceId as InstanceId,
			incarnation,
			host: settings.host,
			availabilityZone: settings.availabilityZone as AvailabilityZoneId,
			ready: state.isKnown && !this.#isLeaving,
			leaving: this.#isLeaving,
			...state.describe(),
		};
	}

	/** Whether this instance reads the store on behalf of all. */
	get isFollower(): boolean {
		return this.#follower === this.#options.context.incarnation;
	}

	/** Instances that callers may be sent to, this one among them if it is ready. */
	offered(): readonly FleetMember[] {
		const {self} = this;
		return self.ready ? [self, ...this.#view.offered()] : this.#view.offered();
	}

	/** Greatest number of instances that may share a budget. */
	get greatestSize(): number {
		return this.#view.greatestSize;
	}

	/** Tells all others what changed in the registry, where it fits into a message. */
	announceChanges(changes: KeyedChanges<RegisteredUpstream>, trust: RemovalTrust): void {
		this.#sendToAll({type: 'changes', changes, trust});
	}

	announceCrash(crash: Crash): void {
		this.#sendToAll({type: 'crash', crash});
	}

	/** Tells all others of this instance at once. */
	announce(): void {
		this.#sendToAll({type: 'heartbeat', member: this.self});
	}

	get #follower(): IncarnationId | undefined {
		const nowMs = this.#options.context.clock.monotonicMs();
		if (nowMs - this.#followerChosenAtMs > followerChoiceMs) {
			this.#chosenFollower = chooseFollower([this.self, ...this.#view.live()]);
			this.#followerChosenAtMs = nowMs;
		}

		return this.#chosenFollower;
	}

	get #isFirstOfZone(): boolean {
		const {self} = this;
		const inZone = this.#view.live().filter(({availabilityZone}) => availabilityZone === self.availabilityZone);
		return chooseFollower([self, ...inZone]) === self.incarnation;
	}

	#beat(): void {
		if (this.#isStopped) {
			return;
		}

		const {logger, metrics} = this.#options.context;
		for (const host of this.#view.sweep()) {
			logger.info('instance forgotten', {host});
		}

		metrics.liveInstances.set(this.#view.live().length + 1);
		this.announce();
		this.#beatTimer = setTimeout(() => {
			this.#beat();
		}, this.isFollower ? followerHeartbeatMs : defaultFleetTiming.heartbeatMs);
	}

	#received(message: FleetMessage): void {
		const {context, state, onCrash} = this.#options;
		switch (message.type) {
			case 'heartbeat': {
				this.#heard(message.member);
				return;
			}

			case 'hosts': {
				this.#view.addCandidates(message.hosts.filter(other => other !== context.settings.host));
				return;
			}

			case 'crash': {
				onCrash(message.crash);
				return;
			}

			case 'changes': {
				state().changed(message.changes, message.trust);
			}
		}
	}

	#heard(member: FleetMember): void {
		const {context} = this.#options;
		if (member.incarnation === context.incarnation) {
			return;
		}

		if (this.#view.heard(member)) {
			context.logger.info('instance appeared', {instance: member.instance, host: member.host, incarnation: member.incarnation});
			this.#socket.send({type: 'hosts', hosts: this.#view.targets().filter(host => host !== member.host)}, [member.host]);
			this.#socket.send({type: 'heartbeat', member: this.self}, [member.host]);
		}

		this.#asker.heard(member);
	}

	#sendToAll(message: FleetMessage): void {
		this.#socket.send(message, this.#view.targets());
	}
}
