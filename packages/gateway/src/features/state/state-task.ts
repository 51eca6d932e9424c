/** Owns the state of this instance: the records that operators have published, and the registry of upstreams. */
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
import {
	hasKnownAccounts, shareConfiguration, type SharedState, type StateQuery,
} from './shared-state.js';
import {TopicReader, type StoreReaderRole} from './topic-reader.js';

const millisecondsPerSecond = 1000;
/** Time for which evacuations stay in force after a restore of the store that has lost their orders. Operators write the orders again within seconds. */
const evacuationRetentionMs = 5000;
/** Upper limit of the reported age of the state; reported too if the store has never confirmed it. */
const maximumReportedAgeMs = 600_000;

export type StateTaskOptions = {
	readonly context: Context;
	readonly store: StateStore;
	/** Role of this instance among the readers of the store. */
	readonly readerRole: () => StoreReaderRole;
	readonly onConfiguration: (routes: RouteTable) => void;
	readonly onEvacuation: (event: EvacuationEvent) => void;
	readonly onUpstream: (event: RegistryEvent) => void;
	/** Called when the state is newer than the one that other instances may have; with the changes of the registry if they are available as records. */
	readonly onUpdate: (changes: KeyedChanges<RegisteredUpstream> | undefined) => void;
	/** Called when the store has confirmed state that other instances may consider too old. */
	readonly onRefreshed: () => void;
	/** Called when the store was restored from an older copy. */
	readonly onRestored: () => void;
};

/** The topics of the store that make up the state. */
type StateTopic = 'operators' | 'registry';

/** Changes of the registry that another instance reports. */
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
	readonly #storeHealth: StoreHealth;
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
		this.#storeHealth = new StoreHealth(context.clock);
		this.#epoch = new EpochTracker({
			context,
			onLaterEpoch: () => {
				this.#operators.resetOffsets();
				this.#registry.resetOffsets();
			},
			onRestored: () => {
				this.#handleRestore();
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

	/** Makes the readers choose their read mode again, as the role of this instance among the readers of the store has changed. */
	handleRoleChange(): void {
		for (const reader of this.#readers) {
			reader.handleRoleChange();
		}
	}

	get routes(): RouteTable | undefined {
		return this.#operators.routes;
	}

	/** Whether this instance can serve callers: its routes and upstreams are known. */
	get canServe(): boolean {
		return this.routes !== undefined && this.#registry.isKnown;
	}

	/** Time since the store last confirmed the configuration, directly or through other instances. */
	get configurationAgeMs(): number {
		return this.#ageMs('operators');
	}

	/** The fields of a heartbeat that describe the state of this instance. */
	describe(): Pick<FleetMember, 'configurationVersion' | 'storeEpoch' | 'evacuations' | 'registryOffset' | 'registryDigest' | 'stateAgeMs' | 'reachesStore'> {
		return {
			configurationVersion: this.#operators.version,
			storeEpoch: this.#epoch.current,
			evacuations: this.#operators.evacuations,
			registryOffset: this.#registry.endOffset,
			registryDigest: this.#registry.digest,
			stateAgeMs: Math.round(Math.min(Math.max(this.#ageMs('operators'), this.#ageMs('registry')), maximumReportedAgeMs)),
			reachesStore: !this.#storeHealth.isDown,
		};
	}

	/** Identifies the revision of the state that is handed over; differs after each change of it. */
	get revisionKey(): string {
		return `${this.#operators.version} ${this.#epoch.current} ${this.#registry.endOffset} ${this.#registry.digest}`;
	}

	/** Answers the query of another instance with the state that is newer than its own. */
	answerQuery({configurationVersion, wantsRegistry, epoch, registryOffset}: StateQuery): SharedState {
		const {routes, version} = this.#operators;
		const fromOffset = epoch === this.#epoch.current ? registryOffset : undefined;
		return {
			epoch: this.#epoch.current,
			...(routes !== undefined && version > configurationVersion ? shareConfiguration(routes.configuration) : {}),
			...(wantsRegistry && this.#registry.endOffset >= 0 ? this.#registry.share(fromOffset) : {}),
		};
	}

	/**
	 * Compares the state that another instance reports in its heartbeat with the known one. Heartbeats contain all evacuation
	 * orders, which are applied at once, so that an instance never serves by a configuration from another instance without
	 * knowing its orders.
	 *
	 * Versions of configurations keep increasing through restores of the store, so a newer one is also fetched from an instance
	 * that doesn't know of the last restore yet.
	 *
	 * @param isFollower - whether the other instance reads the store on behalf of all, so that its state takes precedence
	 * @returns the query to send to it, if it knows more
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
			|| (isFollower && !this.#options.readerRole().isFollower && member.registryOffset === this.#registry.endOffset);
		const wantsRegistry = !hasSameUpstreams && knowsMore;
		if (!knowsNewerConfiguration && member.stateAgeMs < maximumReportedAgeMs) {
			this.#recordConfirmation('operators', member.stateAgeMs);
		}

		if (hasSameUpstreams && this.#registry.isKnown && member.registryOffset >= 0) {
			this.#registry.advanceTo(member.registryOffset);
			this.#recordConfirmation('registry', member.stateAgeMs);
		}

		if (!knowsNewerConfiguration && !wantsRegistry) {
			return undefined;
		}

		// If the offsets are equal but the upstreams differ, only the whole registry corrects this instance.
		const canApplyChanges = this.#registry.endOffset >= 0 && member.registryOffset > this.#registry.endOffset;
		return {...this.#query(wantsRegistry), ...(canApplyChanges ? {registryOffset: this.#registry.endOffset} : {})};
	}

	/** Applies the state that another instance has handed over. */
	adopt(shared: SharedState): void {
		const {epoch, configuration, registry, changes} = shared;
		if (configuration !== undefined) {
			const isUsable = this.#operators.adoptConfiguration(configuration, hasKnownAccounts(shared));
			if (!isUsable) {
				this.#readOperatorsAgain();
			}
		}

		if (this.#epoch.observe(epoch, 'instance') === 'earlier') {
			return;
		}

		if (registry !== undefined) {
			this.#registry.applySnapshot(registry, this.#epoch.handedOverConfidence);
		}

		if (changes !== undefined) {
			this.#registry.applyChanges(changes, this.#epoch.handedOverConfidence);
		}
	}

	/** Applies changes of the registry that the follower has sent. */
	receiveChanges({epoch, changes, confidence}: ReportedChanges): void {
		if (this.#epoch.observe(epoch, 'instance') !== 'earlier') {
			this.#registry.receiveChanges(changes, confidence);
		}
	}

	/** Confidence in removals that goes with the changes that this instance passes on. */
	get removalConfidence(): RemovalConfidence {
		return this.#storeHealth.currentConfidence();
	}

	/** Reads what operators have published from the store, as another instance has newer state that can't be used. */
	#readOperatorsAgain(): void {
		this.#confirmedAtMs = {...this.#confirmedAtMs, operators: Number.NEGATIVE_INFINITY};
		this.handleRoleChange();
	}

	#query(wantsRegistry: boolean): StateQuery {
		return {configurationVersion: this.#operators.version, wantsRegistry, epoch: this.#epoch.current};
	}

	#handleRestore(): void {
		this.#storeHealth.recordRestore();
		clearTimeout(this.#releaseTimer);
		this.#releaseTimer = setTimeout(() => {
			this.#operators.releaseEvacuations();
		}, evacuationRetentionMs);
		this.#options.onRestored();
		this.#options.onUpdate(undefined);
	}

	#operatorReader(): TopicReader<OperatorRecord> {
		const {store} = this.#options;
		return new TopicReader<OperatorRecord>({
			...this.#readerOptions('operators'),
			name: 'configurations',
			topic: store.operators,
			knownOffset: () => this.#operators.readOffset,
			// True too if another instance has read that there is no configuration yet, so that not every instance reads the store itself.
			isKnown: () => this.routes !== undefined || this.#confirmedAtMs.operators > Number.NEGATIVE_INFINITY,
			onSnapshot: snapshot => {
				this.#operators.applySnapshot(snapshot);
			},
			onChanges: changes => {
				this.#operators.applyChanges(changes);
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
			knownOffset: () => this.#registry.endOffset >= 0 ? this.#registry.endOffset : undefined,
			onSnapshot: snapshot => {
				this.#registry.applySnapshot(snapshot, this.#storeHealth.currentConfidence());
			},
			onChanges: changes => {
				this.#registry.applyChanges(changes, this.#storeHealth.currentConfidence());
			},
		});
	}

	#readerOptions(topic: StateTopic) {
		const {context: {clock, random, logger, metrics, settings}, readerRole} = this.#options;
		return {
			clock,
			random,
			logger,
			metrics,
			readerRole,
			storeHealth: this.#storeHealth,
			currentEpoch: () => this.#epoch.current,
			onEpoch: (epoch: StoreEpoch | undefined) => this.#epoch.observe(epoch, 'store'),
			isFirstStart: settings.isFirstStart,
			ageMs: () => this.#ageMs(topic),
			onConfirmed: (wasStale: boolean) => {
				this.#recordConfirmation(topic, 0);
				if (wasStale) {
					this.#options.onRefreshed();
				}
			},
		};
	}

	#ageMs(topic: StateTopic): number {
		return this.#options.context.clock.monotonicMs() - this.#confirmedAtMs[topic];
	}

	#recordConfirmation(topic: StateTopic, ageMs: number): void {
		const atMs = this.#options.context.clock.monotonicMs() - ageMs;
		this.#confirmedAtMs = {...this.#confirmedAtMs, [topic]: Math.max(this.#confirmedAtMs[topic], atMs)};
		this.#options.context.metrics.stateAgeSeconds.set(Math.max(this.#ageMs('operators'), this.#ageMs('registry')) / millisecondsPerSecond);
	}
}
