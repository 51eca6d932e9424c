/** Owns what this instance believes: the configuration in force and the upstreams that exist. */
import type {FleetMember} from '@cairnbank/core/fleet';
import {
	StoreTrust, UpstreamRegistry, type KeyedChange, type KeyedChanges, type KeyedSnapshot, type RegisteredUpstream, type RegistryEvent, type RemovalTrust,
} from '@cairnbank/core/registry';
import {RouteTable, type GatewayConfiguration} from '@cairnbank/core/routes';
import {ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {StateStore} from '../../ports/index.js';
import type {SharedState, StateQuery} from './shared-state.js';
import {TopicReader, type StorePlace} from './topic-reader.js';

const sweepIntervalMs = 200;
const millisecondsPerSecond = 1000;

export type StateTaskOptions = {
	readonly context: Context;
	readonly store: StateStore;
	readonly place: () => StorePlace;
	readonly onConfiguration: (routes: RouteTable) => void;
	readonly onUpstream: (event: RegistryEvent) => void;
	/** Something is newer than what others may know; registry changes in hand where there are any. */
	readonly onNews: (changes: KeyedChanges<RegisteredUpstream> | undefined) => void;
	/** The store has confirmed what others may hold for too old. */
	readonly onRefreshed: () => void;
};

export class StateTask implements Task {
	readonly name = 'state';
	readonly #options: StateTaskOptions;
	readonly #registry: UpstreamRegistry;
	readonly #trust: StoreTrust;
	readonly #readers: ReadonlyArray<TopicReader<GatewayConfiguration> | TopicReader<RegisteredUpstream>>;
	#routes: RouteTable | undefined;
	#configurationOffset: number | undefined;
	#confirmedAtMs = {configuration: Number.NEGATIVE_INFINITY, registry: Number.NEGATIVE_INFINITY};
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(options: StateTaskOptions) {
		this.#options = options;
		const {context, store, place} = options;
		const {clock, random, logger, metrics} = context;
		this.#registry = new UpstreamRegistry(clock);
		this.#trust = new StoreTrust(clock);
		const common = {
			clock, random, logger, metrics, place, trust: this.#trust, isFirstStart: context.settings.isFirstStart,
		};
		this.#readers = [
			new TopicReader<GatewayConfiguration>({
				...common,
				name: 'configurations',
				topic: store.configurations,
				offset: () => this.#configurationOffset,
				// Also where another instance has read that there is none yet, so that not each one reads it for itself.
				isKnown: () => this.#routes !== undefined || this.#confirmedAtMs.configuration > Number.NEGATIVE_INFINITY,
				ageMs: () => this.#ageMs('configuration'),
				onSnapshot: snapshot => {
					this.#configurationsRead(snapshot);
				},
				onChanges: changes => {
					this.#configurationsRead(changes);
				},
				onConfirmed: wasStale => {
					this.#read('configuration', wasStale);
				},
			}),
			new TopicReader<RegisteredUpstream>({
				...common,
				name: 'upstreams',
				topic: store.upstreams,
				isKnown: () => this.#registry.isKnown,
				offset: () => this.#registry.isKnown ? this.#registry.endOffset : undefined,
				ageMs: () => this.#ageMs('registry'),
				onSnapshot: snapshot => {
					this.#replaceRegistry(snapshot, this.#trust.current());
				},
				onChanges: changes => {
					this.#followRegistry(changes);
				},
				onConfirmed: wasStale => {
					this.#read('registry', wasStale);
				},
			}),
		];
	}

	async start(): Promise<Result<void, StartError>> {
		for (const reader of this.#readers) {
			void reader.run();
		}

		return ok(undefined);
	}

	stop(): void {
		clearInterval(this.#sweepTimer);
		for (const reader of this.#readers) {
			reader.stop();
		}
	}

	/** This instance has become the follower of the store, or is it no more. */
	placeChanged(): void {
		for (const reader of this.#readers) {
			reader.placeChanged();
		}
	}

	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	/** It can serve: routes and upstreams are known. */
	get isKnown(): boolean {
		return this.#routes !== undefined && this.#registry.isKnown;
	}

	/** What others are told of it with each heartbeat. */
	describe(): Pick<FleetMember, 'configurationVersion' | 'registryOffset' | 'registryDigest' | 'stateAgeMs' | 'reachesStore'> {
		return {
			configurationVersion: this.#version,
			registryOffset: this.#registry.endOffset,
			registryDigest: this.#registry.digest,
			stateAgeMs: Math.round(Math.min(Math.max(this.#ageMs('configuration'), this.#ageMs('registry')), maximumToldAgeMs)),
			reachesStore: !this.#trust.isDown,
		};
	}

	/** Changes with each change of what is shared. */
	get key(): string {
		return `${this.#version} ${this.#registry.endOffset} ${this.#registry.digest}`;
	}

	/** What another instance asks for. */
	share({configurationVersion, wantsRegistry}: StateQuery): SharedState {
		return {
			...(this.#routes !== undefined && this.#version > configurationVersion ? {configuration: this.#routes.configuration} : {}),
			...(wantsRegistry && this.#registry.isKnown ? {registry: this.#registry.toSnapshot()} : {}),
		};
	}

	/**
	 * Another instance has told its state.
	 *
	 * @param isFollower - whether it reads the store on behalf of all, so that its view goes first
	 * @returns what to ask it for, if it knows more
	 */
	compare(member: FleetMember, isFollower: boolean): StateQuery | undefined {
		const knowsNewerConfiguration = member.configurationVersion > this.#version;
		const hasSameUpstreams = member.registryDigest === this.#registry.digest;
		const knowsMore = member.registryOffset > this.#registry.endOffset
			|| (isFollower && !this.#options.place().isFollower && member.registryOffset === this.#registry.endOffset);
		const wantsRegistry = !hasSameUpstreams && knowsMore;
		if (!knowsNewerConfiguration && member.stateAgeMs < maximumToldAgeMs) {
			this.#confirmed('configuration', member.stateAgeMs);
		}

		if (hasSameUpstreams && this.#registry.isKnown && member.registryOffset >= 0) {
			this.#registry.confirm(member.registryOffset);
			this.#confirmed('registry', member.stateAgeMs);
		}

		return knowsNewerConfiguration || wantsRegistry ? {configurationVersion: this.#version, wantsRegistry} : undefined;
	}

	/** Another instance has handed its state over. */
	adopt({configuration, registry}: SharedState): void {
		if (configuration !== undefined) {
			this.#putInForce(configuration, 'instance');
		}

		if (registry !== undefined) {
			this.#replaceRegistry(registry, {type: 'sound'});
		}
	}

	/** The follower has told what changed in the registry. */
	changed(changes: KeyedChanges<RegisteredUpstream>, trust: RemovalTrust): void {
		this.#emit(this.#registry.follow(changes, trust) ?? []);
	}

	/** Trust that goes with the changes that this instance passes on. */
	get removalTrust(): RemovalTrust {
		return this.#trust.current();
	}

	get #version(): number {
		return this.#routes?.configuration.version ?? 0;
	}

	#read(part: 'configuration' | 'registry', wasStale: boolean): void {
		this.#confirmed(part, 0);
		if (wasStale) {
			this.#options.onRefreshed();
		}
	}

	#ageMs(part: 'configuration' | 'registry'): number {
		return this.#options.context.clock.monotonicMs() - this.#confirmedAtMs[part];
	}

	#confirmed(part: 'configuration' | 'registry', ageMs: number): void {
		const atMs = this.#options.context.clock.monotonicMs() - ageMs;
		this.#confirmedAtMs = {...this.#confirmedAtMs, [part]: Math.max(this.#confirmedAtMs[part], atMs)};
		this.#options.context.metrics.stateAgeSeconds.set(Math.max(this.#ageMs('configuration'), this.#ageMs('registry')) / millisecondsPerSecond);
	}

	#configurationsRead({records, endOffset}: {records: ReadonlyArray<KeyedChange<GatewayConfiguration>>; endOffset: number}): void {
		this.#configurationOffset = endOffset;
		for (const {value} of records) {
			if (value !== undefined) {
				this.#putInForce(value, 'store');
			}
		}
	}

	/** Versions only rise: a later one that was seen once stays in force. */
	#putInForce(configuration: GatewayConfiguration, source: 'store' | 'instance'): void {
		if (configuration.version <= this.#version) {
			return;
		}

		this.#routes = new RouteTable(configuration);
		const {logger, metrics} = this.#options.context;
		metrics.configurationVersion.set(configuration.version);
		logger.info('configuration in force', {version: configuration.version, source});
		this.#options.onConfiguration(this.#routes);
		this.#options.onNews(undefined);
	}

	#replaceRegistry(snapshot: KeyedSnapshot<RegisteredUpstream>, trust: RemovalTrust): void {
		const events = this.#registry.replace(snapshot, trust);
		this.#emitAll(events);
		if (events.length > 0) {
			this.#options.onNews(undefined);
		}
	}

	#followRegistry(changes: KeyedChanges<RegisteredUpstream>): void {
		const events = this.#registry.follow(changes, this.#trust.current()) ?? [];
		this.#emit(events);
		if (events.length > 0) {
			this.#options.onNews(changes);
		}
	}

	/** Runs only while an entry is missing that may come back. */
	#sweepWhileLapsed(): void {
		this.#sweepTimer ??= setInterval(() => {
			this.#sweep();
			if (!this.#registry.hasLapsed) {
				clearInterval(this.#sweepTimer);
				this.#sweepTimer = undefined;
			}
		}, sweepIntervalMs);
	}

	#sweep(): void {
		const events = this.#registry.sweep();
		this.#emit(events);
		if (events.length > 0) {
			this.#options.onNews(undefined);
		}
	}

	/** Those that become known together share one line: else each start of an instance would write 500. */
	#emitAll(events: readonly RegistryEvent[]): void {
		const joined = events.filter(({type}) => type === 'joined');
		for (const event of joined) {
			this.#options.onUpstream(event);
		}

		if (joined.length > 0) {
			const upstreams = joined.map(({upstream: {id, host, port}}) => `${id}=${host}:${port}`).join(' ');
			this.#options.context.logger.info('upstreams joined', {count: joined.length, registryOffset: this.#registry.endOffset, upstreams});
		}

		this.#emit(events.filter(({type}) => type !== 'joined'));
	}

	#emit(events: readonly RegistryEvent[]): void {
		for (const event of events) {
			const {id, service, host, port, availabilityZone} = event.upstream;
			this.#options.context.logger.info(`upstream ${event.type}`, {
				upstream: id, service, address: `${host}:${port}`, availabilityZone, registryOffset: this.#registry.endOffset,
			});
			this.#options.onUpstream(event);
		}

		if (events.some(({type}) => type === 'lapsed')) {
			this.#sweepWhileLapsed();
		}
	}
}

/** Told by an instance that has heard nothing of the store, or nothing for long. */
const maximumToldAgeMs = 600_000;
