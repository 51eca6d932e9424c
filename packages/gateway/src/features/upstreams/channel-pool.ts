/** Gives out the channels to one upstream: pooled connections, or other instances while this one has lost its own links. */
import type {ConnectionState} from '@cairnbank/core/placement';
import type {PathState} from '@cairnbank/core/reachability';
import type {ConnectionPool} from './connection-pool.js';
import type {UpstreamChannel} from './upstream-channel.js';
import {UpstreamConnection} from './upstream-connection.js';

export type ChannelPoolOptions = {
	readonly connections: ConnectionPool;
	readonly path: PathState;
	/** Opens a channel through another instance, the preferred one if possible. */
	readonly openRelayed: (preferredHost?: string) => UpstreamChannel;
};

export class ChannelPool {
	readonly #options: ChannelPoolOptions;
	/** The instance through which the upstream answered last. */
	#relay: string | undefined;

	constructor(options: ChannelPoolOptions) {
		this.#options = options;
	}

	get path(): PathState {
		return this.#options.path;
	}

	/** Whether a request could be sent without opening a connection. */
	get connectionState(): ConnectionState {
		return this.path.isRelayed ? 'none' : this.#options.connections.state;
	}

	/** Returns a channel on the path that is in use, through the instance that has just shown that it reaches the upstream. */
	take(): UpstreamChannel {
		return this.path.isRelayed ? this.#options.openRelayed(this.#relay) : this.takeOwn();
	}

	/** Returns a channel for a health check, through any other instance if the path leads through one. */
	takeForCheck(): UpstreamChannel {
		return this.path.isRelayed ? this.openRelayed() : this.takeOwn();
	}

	/** Returns an idle connection of this instance, or a new one if none is idle. */
	takeOwn(): UpstreamChannel {
		return this.#options.connections.take();
	}

	/** Opens a channel through another instance. */
	openRelayed(): UpstreamChannel {
		return this.#options.openRelayed();
	}

	/** Sends further requests through another instance; idle connections of this one may have fallen silent. */
	useRelay(host: string): void {
		this.#relay = host;
		if (!this.path.isRelayed) {
			this.path.recordRelayed();
			this.#options.connections.close();
		}
	}

	/** Opens a new connection of this instance. */
	open(): UpstreamChannel {
		return this.#options.connections.open();
	}

	/** Opens a connection of this instance if there is none and it has a link to the upstream. */
	ensureOpen(): void {
		if (!this.path.isRelayed) {
			this.#options.connections.ensureOpen();
		}
	}

	/** Returns a channel after its exchange. */
	release(channel: UpstreamChannel): void {
		if (channel instanceof UpstreamConnection) {
			this.#options.connections.release(channel);
		} else {
			channel.close();
		}
	}

	/** Closes idle connections that have expired. */
	sweep(): void {
		this.#options.connections.sweep();
	}

	/** Closes the idle connections; those in use end with their exchange. */
	close(): void {
		this.#options.connections.close();
	}
}
