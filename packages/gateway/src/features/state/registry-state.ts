/** Holds the upstreams that this instance knows, and reports and logs their changes. */
import {
	UpstreamRegistry, type KeyedChanges, type KeyedSnapshot, type RegisteredUpstream, type RegistryEvent, type RemovalConfidence,
} from '@cairnbank/core/registry';
import type {Context} from '../../kernel/context.js';
import type {SharedState} from './shared-state.js';

const sweepIntervalMs = 200;

export type RegistryStateOptions = {
	readonly context: Pick<Context, 'clock' | 'logger'>;
	readonly onUpstream: (event: RegistryEvent) => void;
	/** Called when the registry is newer than the one that other instances may have; with the changes if they are available as records. */
	readonly onUpdate: (changes: KeyedChanges<RegisteredUpstream> | undefined) => void;
};

export class RegistryState {
	readonly #options: RegistryStateOptions;
	readonly #registry: UpstreamRegistry;
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(options: RegistryStateOptions) {
		this.#options = options;
		this.#registry = new UpstreamRegistry(options.context.clock);
	}

	stop(): void {
		clearInterval(this.#sweepTimer);
	}

	/** Whether a snapshot was applied. */
	get isKnown(): boolean {
		return this.#registry.hasSnapshot;
	}

	/** Starts offsets anew after the store was restored from an older copy; the upstreams stay as they are. */
	resetOffsets(): void {
		this.#registry.resetOffsets();
	}

	/** Records up to this offset (exclusive) are applied; -1 if none are. */
	get endOffset(): number {
		return this.#registry.endOffset;
	}

	/** Equal on instances that know the same upstreams. */
	get digest(): number {
		return this.#registry.digest;
	}

	/** The whole registry, for an instance that has none. */
	toSnapshot(): KeyedSnapshot<RegisteredUpstream> {
		return this.#registry.toSnapshot();
	}

	/**
	 * The changes since an offset, for an instance that knows the records before it.
	 *
	 * @returns `undefined` if not all of them are known here
	 */
	changesSince(fromOffset: number): KeyedChanges<RegisteredUpstream> | undefined {
		return this.#registry.changesSince(fromOffset);
	}

	/** The changes since an offset if they are known, else the whole registry. While thousands of upstreams register, each step would otherwise transfer the whole registry. */
	share(fromOffset: number | undefined): Pick<SharedState, 'registry' | 'changes'> {
		const changes = fromOffset === undefined ? undefined : this.changesSince(fromOffset);
		return changes === undefined ? {registry: this.toSnapshot()} : {changes};
	}

	/** Advances the end offset, as another instance knows the same upstreams and has applied more records. */
	advanceTo(endOffset: number): void {
		this.#registry.advanceTo(endOffset);
	}

	/** Applies a snapshot of the store or of another instance. */
	applySnapshot(snapshot: KeyedSnapshot<RegisteredUpstream>, confidence: RemovalConfidence): void {
		const events = this.#registry.applySnapshot(snapshot, confidence);
		this.#emitSnapshotEvents(events);
		if (events.length > 0) {
			this.#options.onUpdate(undefined);
		}
	}

	/** Applies consecutive records of the store or of another instance and passes them on. */
	applyChanges(changes: KeyedChanges<RegisteredUpstream>, confidence: RemovalConfidence): void {
		const events = this.#registry.applyChanges(changes, confidence) ?? [];
		this.#emit(events);
		if (events.length > 0) {
			this.#options.onUpdate(changes);
		}
	}

	/** Applies changes that the follower has sent. They are not passed on, as it has sent them to all other instances too. */
	receiveChanges(changes: KeyedChanges<RegisteredUpstream>, confidence: RemovalConfidence): void {
		this.#emit(this.#registry.applyChanges(changes, confidence) ?? []);
	}

	/** Sweeps at intervals while an entry is missing that may return. */
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
			this.#options.onUpdate(undefined);
		}
	}

	/**
	 * Emits the events of a snapshot. All upstreams that join share one log line: otherwise each start of an instance would write
	 * 500 lines. They come last, as an upstream that has started again under its id is gone and joins.
	 */
	#emitSnapshotEvents(events: readonly RegistryEvent[]): void {
		this.#emit(events.filter(({type}) => type !== 'joined'));
		const joined = events.filter(({type}) => type === 'joined');
		for (const event of joined) {
			this.#options.onUpstream(event);
		}

		if (joined.length > 0) {
			const upstreams = joined.map(({upstream: {id, host, port}}) => `${id}=${host}:${port}`).join(' ');
			this.#options.context.logger.info('upstreams joined', {count: joined.length, registryOffset: this.endOffset, upstreams});
		}
	}

	#emit(events: readonly RegistryEvent[]): void {
		for (const event of events) {
			const {id, service, host, port, availabilityZone} = event.upstream;
			this.#options.context.logger.info(`upstream ${event.type}`, {
				upstream: id, service, address: `${host}:${port}`, availabilityZone, registryOffset: this.endOffset,
			});
			this.#options.onUpstream(event);
		}

		if (events.some(({type}) => type === 'lapsed')) {
			this.#sweepWhileLapsed();
		}
	}
}
