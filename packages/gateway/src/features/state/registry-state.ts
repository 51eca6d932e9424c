/** The upstreams that exist, as far as this instance knows, and what is told of their changes. */
import {
	UpstreamRegistry, type KeyedChanges, type KeyedSnapshot, type RegisteredUpstream, type RegistryEvent, type RemovalConfidence,
} from '@cairnbank/core/registry';
import type {Context} from '../../kernel/context.js';

const sweepIntervalMs = 200;

export type RegistryStateOptions = {
	readonly context: Pick<Context, 'clock' | 'logger'>;
	readonly onUpstream: (event: RegistryEvent) => void;
	/** Something is newer than what others may know; changes in hand where there are any. */
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

	get isKnown(): boolean {
		return this.#registry.isKnown;
	}

	/** The store has come back from an older copy: upstreams stay as they are, positions count anew. */
	restart(): void {
		this.#registry.resetOffsets();
	}

	/** Records folded in; -1 for none. */
	get endOffset(): number {
		return this.#registry.endOffset;
	}

	/** Equal where the same upstreams are known. */
	get digest(): number {
		return this.#registry.digest;
	}

	/** For an instance that has none. */
	toSnapshot(): KeyedSnapshot<RegisteredUpstream> {
		return this.#registry.toSnapshot();
	}

	/** For an instance that knows the records before a position; nothing where that isn't known here. */
	changesSince(fromOffset: number): KeyedChanges<RegisteredUpstream> | undefined {
		return this.#registry.changesSince(fromOffset);
	}

	/** Another instance knows the same upstreams and has folded in more records. */
	confirm(endOffset: number): void {
		this.#registry.advanceTo(endOffset);
	}

	/** The newest records, of the store or of another instance. */
	replace(snapshot: KeyedSnapshot<RegisteredUpstream>, trust: RemovalConfidence): void {
		const events = this.#registry.applySnapshot(snapshot, trust);
		this.#emitAll(events);
		if (events.length > 0) {
			this.#options.onUpdate(undefined);
		}
	}

	/** Further records of the store. */
	follow(changes: KeyedChanges<RegisteredUpstream>, trust: RemovalConfidence): void {
		const events = this.#registry.applyChanges(changes, trust) ?? [];
		this.#emit(events);
		if (events.length > 0) {
			this.#options.onUpdate(changes);
		}
	}

	/** The follower has told what changed; it has told all others too. */
	receiveChanges(changes: KeyedChanges<RegisteredUpstream>, trust: RemovalConfidence): void {
		this.#emit(this.#registry.applyChanges(changes, trust) ?? []);
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
			this.#options.onUpdate(undefined);
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
			this.#options.context.logger.info('upstreams joined', {count: joined.length, registryOffset: this.endOffset, upstreams});
		}

		this.#emit(events.filter(({type}) => type !== 'joined'));
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
