/** Bounds the connections of a listener, so that it never lacks descriptors and new callers still get in. */

export class ConnectionBound<Connection> {
	readonly #maximum: number;
	/** Connections without a whole request that is not answered: new ones, those whose head has not arrived, and idle ones. The one that has been so for longest comes first. */
	readonly #resting = new Set<Connection>();
	/** Connections with an open request, in the order in which it arrived. */
	readonly #busy = new Set<Connection>();

	constructor(maximum: number) {
		this.#maximum = maximum;
	}

	get size(): number {
		return this.#resting.size + this.#busy.size;
	}

	/**
	 * Adds a new connection.
	 *
	 * @param mayEnd - returns whether a busy connection may be ended, as no request of it runs
	 * @returns the connection to end, if there are too many: the one that has rested for longest, or a busy one that may be ended, or the new one
	 */
	opened(connection: Connection, mayEnd: (connection: Connection) => boolean = () => false): Connection | undefined {
		if (this.size < this.#maximum) {
			this.#resting.add(connection);
			return undefined;
		}

		const [longest] = this.#resting;
		const ended = longest ?? [...this.#busy].find(busy => mayEnd(busy)) ?? connection;
		this.closed(ended);
		if (ended !== connection) {
			this.#resting.add(connection);
		}

		return ended;
	}

	/** Records that a request has arrived. */
	busy(connection: Connection): void {
		if (this.#resting.delete(connection)) {
			this.#busy.add(connection);
		}
	}

	/** Records that no request is open any more. */
	resting(connection: Connection): void {
		if (this.#busy.delete(connection)) {
			this.#resting.add(connection);
		}
	}

	closed(connection: Connection): void {
		this.#resting.delete(connection);
		this.#busy.delete(connection);
	}
}
