/** Kept connections of one upstream. */
import {UpstreamConnection, type ConnectionOptions} from './upstream-connection.js';

export type ConnectionPoolOptions = Omit<ConnectionOptions, 'onClosed'> & {
	readonly onOpened: () => void;
};

export class ConnectionPool {
	readonly #options: ConnectionPoolOptions;
	readonly #open = new Set<UpstreamConnection>();
	/** Last used last. */
	#idle: UpstreamConnection[] = [];

	constructor(options: ConnectionPoolOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#open.size;
	}

	/** The connection used last, as it is least likely to be near its end; a new one where none is idle. */
	take(): UpstreamConnection {
		for (let connection = this.#idle.pop(); connection !== undefined; connection = this.#idle.pop()) {
			if (connection.isReusable) {
				return connection;
			}

			connection.close();
		}

		return this.open();
	}

	/** A new connection. */
	open(): UpstreamConnection {
		this.#options.onOpened();
		const connection = new UpstreamConnection({
			...this.#options,
			onClosed: closed => {
				this.#open.delete(closed);
			},
		});
		this.#open.add(connection);
		return connection;
	}

	/** Hands back a connection after its exchange. */
	release(connection: UpstreamConnection): void {
		if (connection.isReusable) {
			this.#idle.push(connection);
		} else {
			connection.close();
		}
	}

	/** Closes idle connections whose time is over. */
	sweep(): void {
		if (this.#idle.length === 0) {
			return;
		}

		const [kept, over] = partition(this.#idle, connection => connection.isReusable);
		this.#idle = kept;
		for (const connection of over) {
			connection.close();
		}
	}

	/** Closes idle connections; those in use end with their exchange. */
	close(): void {
		for (const connection of this.#idle) {
			connection.close();
		}

		this.#idle = [];
	}
}

function partition<Item>(items: readonly Item[], test: (item: Item) => boolean): [Item[], Item[]] {
	return [items.filter(item => test(item)), items.filter(item => !test(item))];
}
