/** Owns the traffic between instances: membership, updates of the registry, the choice of who reads the store. */
import type {AvailabilityZoneId} from '@cairnbank/core';
import {followerRank, type FleetShareTracker} from '@cairnbank/core/fleet';
import {subsetPositionOf, type SubsetPosition} from '@cairnbank/core/placement';
import type {KeyedChanges, RegisteredUpstream, RemovalConfidence} from '@cairnbank/core/registry';
import {ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {splitAddress} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {StateStore} from '../../ports/index.js';
import type {Crash} from '../calls/poison-guard.js';
import type {RateReport} from '../upstreams/rate-limits.js';
import type {StateTask} from '../state/state-task.js';
import type {StoreReaderRole} from '../state/topic-reader.js';
import type {FleetMessage} from './datagrams.js';
import {FleetSocket} from './fleet-socket.js';
import {Membership, type OwnState} from './membership.js';
import {gatherMs} from './update-queue.js';
import {fetchState, StateExchange} from './state-exchange.js';
import {StateAsker} from './state-asker.js';
import {StoreEntry} from './store-entry.js';
import {StorePlaces} from './store-places.js';

export type FleetTaskOptions = {
	readonly context: Context;
	readonly store: StateStore;
	readonly state: () => StateTask;
	/** Another instance saw an upstream crash under a request. */
	readonly onCrash: (crash: Crash) => void;
	/** Another instance reports what an upstream says of its rate limit. */
	readonly onRate: (report: RateReport) => void;
	/** The place of this instance among the readers of the store has changed. */
	readonly onPlaceChanged: () => void;
};

export class FleetTask implements Task {
	readonly name = 'fleet';
	readonly #options: FleetTaskOptions;
	readonly #membership: Membership;
	readonly #exchange: StateExchange;
	readonly #socket: FleetSocket;
	readonly #storeEntry: StoreEntry;
	readonly #asker: StateAsker;
	readonly #places: StorePlaces;
	/** Others were named to it before the start, and it was not named to them. */
	readonly #hasSeeds: boolean;
	#beatTimer: NodeJS.Timeout | undefined;
	#updateTimer: NodeJS.Timeout | undefined;
	#isLeaving = false;
	#isStopped = false;

	constructor(options: FleetTaskOptions) {
		this.#options = options;
		const {settings} = options.context;
		const seeds = settings.seeds.map(seed => splitAddress(seed).host);
		this.#hasSeeds = seeds.length > 0 && !seeds.includes(settings.host);
		this.#exchange = new StateExchange({
			context: options.context,
			share: query => options.state().answerQuery(query),
			stateKey: () => options.state().revisionKey,
		});
		this.#socket = new FleetSocket(options.context, message => {
			this.#received(message);
		});
		this.#membership = new Membership({
			context: options.context,
			send: (message, hosts) => {
				this.#socket.send(message, hosts);
			},
			self: () => this.self,
			isFollower: () => this.#places.isFollower,
			onUpdate: () => {
				this.#updateTimer = setTimeout(() => {
					this.#membership.passOn();
				}, gatherMs);
			},
		});
		this.#places = new StorePlaces({
			context: options.context,
			self: () => this.self,
			view: () => this.#membership.view,
			onChanged: options.onPlaceChanged,
		});
		this.#asker = new StateAsker({
			context: options.context,
			compare: member => options.state().compare(member, this.#places.follower === member.incarnation),
			isFirstOfZone: () => this.#places.isFirstOfZone,
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
			onOthers: hosts => {
				this.#membership.view.addCandidates(hosts);
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

		this.#membership.view.addCandidates(settings.seeds.map(seed => splitAddress(seed).host).filter(host => host !== settings.host));
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
		clearTimeout(this.#updateTimer);
		this.#storeEntry.stop();
		this.#asker.stop();
		this.#socket.stop();
		this.#exchange.stop();
	}

	/** This instance as others see it. */
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
		};
	}

	/** What this instance is to the others as a reader of the store. */
	get place(): StoreReaderRole {
		const {isFollower, isDeputy, readersAheadInZone} = this.#places;
		return {
			isFollower,
			isDeputy,
			readersAheadInZone,
			isKnownToOthers: this.#membership.view.live().some(({ready}) => ready),
			hasSeeds: this.#hasSeeds,
		};
	}

	/** Instances that callers may be sent to, this one among them if it is ready. */
	offered(): readonly OwnState[] {
		const {self} = this;
		return self.ready ? [self, ...this.#membership.view.offered()] : this.#membership.view.offered();
	}

	/** Place of this instance among the live ones, of its availability zone or of all. */
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

	/** What this instance may use of the bounds that all share. */
	get shares(): FleetShareTracker {
		return this.#membership.shares;
	}

	/** Tells others what changed in the registry, where it fits into a message; what they miss they ask for. */
	announceChanges(changes: KeyedChanges<RegisteredUpstream>, trust: RemovalConfidence): void {
		const {storeEpoch: epoch} = this.#options.state().describe();
		const make = (isForZone: boolean): FleetMessage => ({
			type: 'changes', epoch, changes, trust, isForZone,
		});
		if (this.#membership.isBeatingToAll) {
			this.#membership.sendToAll(make);
		} else {
			this.#socket.send(make(false), this.#membership.few());
		}
	}

	/** The store has come back from an older copy, which may lack the entry of this instance. */
	storeRestored(): void {
		this.#storeEntry.renew();
	}

	/** Reports to all others what an upstream says of its rate limit. */
	shareRate(report: RateReport): void {
		this.#membership.sendToAll(isForZone => ({type: 'rate', report, isForZone}));
	}

	announceCrash(crash: Crash): void {
		this.#socket.send({type: 'crash', crash}, this.#membership.view.targets());
	}

	/** Tells others of this instance at once. */
	announce(): void {
		this.#membership.announce();
	}

	/** Tells all others of this instance at once. */
	announceToAll(): void {
		this.#membership.announceToAll();
	}

	#beat(): void {
		if (this.#isStopped) {
			return;
		}

		this.#membership.beat();
		this.#beatTimer = setTimeout(() => {
			this.#beat();
		}, this.#membership.beatMs);
	}

	#received(message: FleetMessage): void {
		const {context, state, onCrash, onRate} = this.#options;
		switch (message.type) {
			case 'heartbeat': {
				if (message.member.incarnation !== context.incarnation) {
					this.#membership.heard(message);
					this.#asker.heard(message.member);
				}

				return;
			}

			case 'members': {
				this.#membership.receive(message);
				return;
			}

			case 'crash': {
				onCrash(message.crash);
				return;
			}

			case 'rate': {
				onRate(message.report);
				if (message.isForZone) {
					this.#membership.passToZone({...message, isForZone: false}, '');
				}

				return;
			}

			case 'changes': {
				state().receiveChanges(message);
				if (message.isForZone) {
					this.#membership.passToZone({...message, isForZone: false}, '');
				}
			}
		}
	}
}
