/** Owns what this instance believes: what operators have published and the upstreams that exist. */
import type {FleetMember} from '@cairnbank/core/fleet';
import type {EvacuationEvent} from '@cairnbank/core/evacuation';
import {
	StoreHealth, type KeyedChanges, type RegisteredUpstream, type RegistryEvent, type RemovalConfidence, type StoreEpoch,
} from '@cairnbank/core/registry';
import type {RouteTable} from '@cairnbank/core/routes';
import {ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {OperatorRecord, StateStore} from '../../ports/index.js';
import {EpochTracker} from './epoch-tracker.js';
import {OperatorState} from './operator-state.js';
import {RegistryState} from './registry-state.js';
import type {SharedState, StateQuery} from './shared-state.js';
import {TopicReader, type StorePlace} from './topic-reader.js';

const millisecondsPerSecond = 1000;
/** Operators write again within seconds what a restored store has lost; until then their orders stay in force. */
const heldOrdersMs = 5000;
/** Told by an instance that has heard nothing of the store, or nothing for long. */
const maximumReportedAgeMs = 600_000;

export type StateTaskOptions = {
	readonly context: Context;
	readonly store: StateStore;
	readonly place: () => StorePlace;
	readonly onConfiguration: (routes: RouteTable) => void;
	readonly onEvacuation: (event: EvacuationEvent) => void;
	readonly onUpstream: (event: RegistryEvent) => void;
	/** Something is newer than what others may know; registry changes in hand where there are any. */
	readonly onUpdate: (changes: KeyedChanges<RegisteredUpstream> | undefined) => void;
	/** The store has confirmed what others may hold for too old. */
	readonly onRefreshed: () => void;
	/** The store has come back from an older copy. */
	readonly onRestored: () => void;
};

/** The parts of the state, each a topic of the store. */
type Part = 'operators' | 'registry';

/** Changes of the registry as another instance reports them. */
export type ReportedChanges = {
	readonly epoch: StoreEpoch;
	readonly changes: KeyedChanges<RegisteredUpstream>;
	readonly confidence: RemovalConfidence;
};

export class StateTask implements Task {
	readonly name = 'state';
	readonly #options: StateTaskOptions;
	readonly #operators: OperatorState;
	readonly #registry: RegistryState;
	readonly #trust: StoreHealth;
	readonly #epoch: EpochTracker;
	#releaseTimer: NodeJS.Timeout | undefined;
	readonly #readers: ReadonlyArray<TopicReader<OperatorRecord> | TopicReader<RegisteredUpstream>>;
	#confirmedAtMs = {operators: Number.NEGATIVE_INFINITY, registry: Number.NEGATIVE_INFINITY};

	constructor(options: StateTaskOptions) {
		this.#options = options;
		const {context, onConfiguration, onEvacuation, onUpstream, onUpdate} = options;
		this.#operators = new OperatorState({
			context,
			onConfiguration,
			onEvacuation,
			onUpdate() {
				onUpdate(undefined);
			},
		});
		this.#registry = new RegistryState({context, onUpstream, onUpdate});
		this.#trust = new StoreHealth(context.clock);
		this.#epoch = new EpochTracker({
			context,
			onLater: () => {
				this.#operators.restart();
				this.#registry.restart();
			},
			onRestored: () => {
				this.#restored();
			},
		});
		this.#readers = [this.#operatorReader(), this.#registryReader()];
	}

	async start(): Promise<Result<void, StartError>> {
		for (const reader of this.#readers) {
			void reader.run();
		}

		return ok(undefined);
	}

	stop(): void {
		clearTimeout(this.#releaseTimer);
		this.#registry.stop();
		for (const reader of this.#readers) {
			reader.stop();
		}
	}

	/** The place of this instance among the readers of the store has changed. */
	placeChanged(): void {
		for (const reader of this.#readers) {
			reader.placeChanged();
		}
	}

	get routes(): RouteTable | undefined {
		return this.#operators.routes;
	}

	/** It can serve: routes and upstreams are known. */
	get isKnown(): boolean {
		return this.routes !== undefined && this.#registry.isKnown;
	}

	/** What others are told of it with each heartbeat. */
	describe(): Pick<FleetMember, 'configurationVersion' | 'storeEpoch' | 'evacuations' | 'registryOffset' | 'registryDigest' | 'stateAgeMs' | 'reachesStore'> {
		return {
			configurationVersion: this.#operators.version,
			storeEpoch: this.#epoch.current,
			evacuations: this.#operators.evacuations,
			registryOffset: this.#registry.endOffset,
			registryDigest: this.#registry.digest,
			stateAgeMs: Math.round(Math.min(Math.max(this.#ageMs('operators'), this.#ageMs('registry')), maximumReportedAgeMs)),
			reachesStore: !this.#trust.isDown,
		};
	}

	/** Changes with each change of what is handed over. */
	get key(): string {
		return `${this.#operators.version} ${this.#epoch.current} ${this.#registry.endOffset} ${this.#registry.digest}`;
	}

	/** What another instance asks for. */
	share({configurationVersion, wantsRegistry, epoch, registryOffset}: StateQuery): SharedState {
		const {routes, version} = this.#operators;
		const fromOffset = epoch === this.#epoch.current ? registryOffset : undefined;
		return {
			epoch: this.#epoch.current,
			...(routes !== undefined && version > configurationVersion ? {configuration: routes.configuration} : {}),
			...(wantsRegistry && this.#registry.endOffset >= 0 ? this.#shareRegistry(fromOffset) : {}),
		};
	}

	/**
	 * Another instance has told its state. Evacuations come with it whole, so that an instance never serves by a
	 * configuration of another one without knowing its orders.
	 *
	 * Versions of configurations rise through restores of the store, so one is taken also from an instance that doesn't know
	 * of the last restore yet.
	 *
	 * @param isFollower - whether it reads the store on behalf of all, so that its view goes first
	 * @returns what to ask it for, if it knows more
	 */
	compare(member: FleetMember, isFollower: boolean): StateQuery | undefined {
		const {version} = this.#operators;
		const knowsNewerConfiguration = member.configurationVersion > version;
		if (this.#epoch.observe(member.storeEpoch, 'instance') === 'earlier') {
			return knowsNewerConfiguration ? this.#query(false) : undefined;
		}

		this.#operators.adoptEvacuations(member.evacuations);
		const hasSameUpstreams = member.registryDigest === this.#registry.digest;
		const knowsMore = member.registryOffset > this.#registry.endOffset
			|| (isFollower && !this.#options.place().isFollower && member.registryOffset === this.#registry.endOffset);
		const wantsRegistry = !hasSameUpstreams && knowsMore;
		if (!knowsNewerConfiguration && member.stateAgeMs < maximumReportedAgeMs) {
			this.#confirmed('operators', member.stateAgeMs);
		}

		if (hasSameUpstreams && this.#registry.isKnown && member.registryOffset >= 0) {
			this.#registry.confirm(member.registryOffset);
			this.#confirmed('registry', member.stateAgeMs);
		}

		if (!knowsNewerConfiguration && !wantsRegistry) {
			return undefined;
		}

		// With the same records and other upstreams, only all of it puts this instance right.
		const canFollow = this.#registry.endOffset >= 0 && member.registryOffset > this.#registry.endOffset;
		return {...this.#query(wantsRegistry), ...(canFollow ? {registryOffset: this.#registry.endOffset} : {})};
	}

	/** Another instance has handed its state over. */
	adopt({epoch, configuration, registry, changes}: SharedState): void {
		if (configuration !== undefined) {
			this.#operators.putInForce(configuration, 'instance');
		}

		if (this.#epoch.observe(epoch, 'instance') === 'earlier') {
			return;
		}

		if (registry !== undefined) {
			this.#registry.replace(registry, this.#epoch.handedOverConfidence);
		}

		if (changes !== undefined) {
			this.#registry.follow(changes, this.#epoch.handedOverConfidence);
		}
	}

	/** The follower has told what changed in the registry. */
	changed({epoch, changes, confidence: trust}: ReportedChanges): void {
		if (this.#epoch.observe(epoch, 'instance') !== 'earlier') {
			this.#registry.receiveChanges(changes, trust);
		}
	}

	/** Trust that goes with the changes that this instance passes on. */
	get removalConfidence(): RemovalConfidence {
		return this.#trust.currentConfidence();
	}

	#query(wantsRegistry: boolean): StateQuery {
		return {configurationVersion: this.#operators.version, wantsRegistry, epoch: this.#epoch.current};
	}

	#restored(): void {
		this.#trust.recordRestore();
		clearTimeout(this.#releaseTimer);
		this.#releaseTimer = setTimeout(() => {
			this.#operators.releaseEvacuations();
		}, heldOrdersMs);
		this.#options.onRestored();
		this.#options.onUpdate(undefined);
	}

	/** What has changed since, where that is known: while upstreams register by the thousand each step would cost a whole state. */
	#shareRegistry(fromOffset: number | undefined): Pick<SharedState, 'registry' | 'changes'> {
		const changes = fromOffset === undefined ? undefined : this.#registry.changesSince(fromOffset);
		return changes === undefined ? {registry: this.#registry.toSnapshot()} : {changes};
	}

	#operatorReader(): TopicReader<OperatorRecord> {
		const {store} = this.#options;
		return new TopicReader<OperatorRecord>({
			...this.#readerOptions('operators'),
			name: 'configurations',
			topic: store.operators,
			offset: () => this.#operators.offset,
			// Also where another instance has read that there is none yet, so that not each one reads it for itself.
			isKnown: () => this.routes !== undefined || this.#confirmedAtMs.operators > Number.NEGATIVE_INFINITY,
			onSnapshot: snapshot => {
				this.#operators.replace(snapshot);
			},
			onChanges: changes => {
				this.#operators.follow(changes);
			},
		});
	}

	#registryReader(): TopicReader<RegisteredUpstream> {
		const {store} = this.#options;
		return new TopicReader<RegisteredUpstream>({
			...this.#readerOptions('registry'),
			name: 'upstreams',
			topic: store.upstreams,
			isKnown: () => this.#registry.isKnown,
			offset: () => this.#registry.endOffset >= 0 ? this.#registry.endOffset : undefined,
			onSnapshot: snapshot => {
				this.#registry.replace(snapshot, this.#trust.currentConfidence());
			},
			onChanges: changes => {
				this.#registry.follow(changes, this.#trust.currentConfidence());
			},
		});
	}

	#readerOptions(part: Part) {
		const {context: {clock, random, logger, metrics, settings}, place} = this.#options;
		return {
			clock,
			random,
			logger,
			metrics,
			place,
			trust: this.#trust,
			epoch: () => this.#epoch.current,
			onEpoch: (epoch: StoreEpoch | undefined) => this.#epoch.observe(epoch, 'store'),
			isFirstStart: settings.isFirstStart,
			ageMs: () => this.#ageMs(part),
			onConfirmed: (wasStale: boolean) => {
				this.#confirmed(part, 0);
				if (wasStale) {
					this.#options.onRefreshed();
				}
			},
		};
	}

	#ageMs(part: Part): number {
		return this.#options.context.clock.monotonicMs() - this.#confirmedAtMs[part];
	}

	#confirmed(part: Part, ageMs: number): void {
		const atMs = this.#options.context.clock.monotonicMs() - ageMs;
		this.#confirmedAtMs = {...this.#confirmedAtMs, [part]: Math.max(this.#confirmedAtMs[part], atMs)};
		this.#options.context.metrics.stateAgeSeconds.set(Math.max(this.#ageMs('operators'), this.#ageMs('registry')) / millisecondsPerSecond);
	}
}
