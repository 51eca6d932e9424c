/** Pool of the keep-alive connections to one upstream. */
import type {ConnectionState} from '@cairnbank/core/placement';
import {UpstreamConnection, type UpstreamConnectionOptions} from './upstream-connection.js';

/**
 * Reason for which a connection is opened: none was open before, all were in use, the idle ones had expired, all had been closed, a check
 * needs a new one, or the upstream is watched.
 */
export type OpeningReason = 'first' | 'occupied' | 'expired' | 'closed' | 'check' | 'watch';

export type ConnectionPoolOptions = Omit<UpstreamConnectionOptions, 'onClosed' | 'onIdle'> & {
	readonly onOpened: (reason: OpeningReason) => void;
};

export class ConnectionPool {
	readonly #options: ConnectionPoolOptions;
	readonly #open = new Set<UpstreamConnection>();
	/** In the order of last use, most recently used last. */
	#idle: UpstreamConnection[] = [];
	/** The connection that is being opened to watch the upstream. */
	#watching: UpstreamConnection | undefined;
	#hasOpened = false;

	constructor(options: ConnectionPoolOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#open.size;
	}

	/** State of the connections, by which a request may need a new one. */
	get state(): ConnectionState {
		if (this.#idle.some(connection => connection.isReusable)) {
			return 'idle';
		}

		return this.#open.size > this.#idle.length ? 'occupied' : 'none';
	}

	/** Returns the most recently used idle connection, as it is the least likely to expire soon, or a new one if none is idle. */
	take(): UpstreamConnection {
		let hasExpired = false;
		for (let connection = this.#idle.pop(); connection !== undefined; connection = this.#idle.pop()) {
			if (connection.isReusable) {
				return connection;
			}

			connection.close();
			hasExpired = true;
		}

		return this.#connect(hasExpired ? 'expired' : this.#reasonNoneIdle());
	}

	/** Opens a new connection, although another may be idle. */
	open(): UpstreamConnection {
		return this.#connect('check');
	}

	/** Opens a connection if there is none, so that the end of the upstream shows; later requests use it. */
	ensureOpen(): void {
		if (this.#open.size === 0) {
			this.#watching = this.#connect('watch');
		}
	}

	/** Returns a connection to the pool after its exchange, or closes it if it is not reusable. */
	release(connection: UpstreamConnection): void {
		if (connection.isReusable) {
			this.#idle.push(connection);
		} else {
			this.#open.delete(connection);
			connection.close();
		}
	}

	/** Closes idle connections that have expired. */
	sweep(): void {
		if (this.#idle.length === 0) {
			return;
		}

		const [kept, expired] = partition(this.#idle, connection => connection.isReusable);
		this.#idle = kept;
		for (const connection of expired) {
			connection.close();
		}
	}

	/** Closes the idle connections; those in use end with their exchange. */
	close(): void {
		this.#watching?.close();
		this.#watching = undefined;
		for (const connection of this.#idle) {
			connection.close();
		}

		this.#idle = [];
	}

	#reasonNoneIdle(): OpeningReason {
		if (!this.#hasOpened) {
			return 'first';
		}

		return this.#open.size > 0 ? 'occupied' : 'closed';
	}

	#connect(reason: OpeningReason): UpstreamConnection {
		this.#options.onOpened(reason);
		this.#hasOpened = true;
		const connection = new UpstreamConnection({
			...this.#options,
			onIdle: idle => {
				this.#watching = undefined;
				this.#idle.push(idle);
			},
			onClosed: closed => {
				this.#open.delete(closed);
			},
		});
		this.#open.add(connection);
		return connection;
	}
}

function partition<Item>(items: readonly Item[], test: (item: Item) => boolean): [Item[], Item[]] {
	return [items.filter(item => test(item)), items.filter(item => !test(item))];
}
