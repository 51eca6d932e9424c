/** Connections that wait to be accepted, or for their first request, as the listener closes. */
import {Server as NetServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {untilArrivalsAreRead, waitTurns} from '../../kernel/arrivals.js';
import {InFlight} from '../../kernel/in-flight.js';

/** Time in which the first request of a connection comes that its caller opened just before the listener closed. */
const firstRequestWaitMs = 1000;
/** Connections that are read again in one turn of the event loop. */
const resumedInTurn = 4;

export class NewConnections {
	readonly #server: NetServer;
	/** Connections that have not carried a request yet. */
	readonly #unused = new InFlight<Socket>();
	#accepted = 0;
	#isAccepting = false;

	constructor(server: NetServer) {
		this.#server = server;
	}

	get unused(): Iterable<Socket> {
		return this.#unused;
	}

	opened(socket: Socket): void {
		this.#accepted += 1;
		this.#unused.add(socket);
		if (this.#isAccepting) {
			// A new socket resumes by itself once this event is over.
			queueMicrotask(() => {
				socket.pause();
			});
		}
	}

	/** The connection has carried a request, or is closed. */
	used(socket: Socket): void {
		this.#unused.delete(socket);
	}

	/**
	 * Accepts the connections that wait and closes the listener, which resets those that are left. Nothing is read meanwhile: the runtime
	 * accepts one connection in each turn of its event loop, and callers that go on connecting would outrun long turns.
	 *
	 * @param open - all open connections
	 * @param isOver - returns whether the instance has stopped
	 */
	async closeListener(open: () => Iterable<Socket>, isOver: () => boolean): Promise<void> {
		this.#isAccepting = true;
		for (const socket of open()) {
			socket.pause();
		}

		await untilArrivalsAreRead(() => this.#accepted, isOver);
		// The method of the HTTP server would close kept connections too, with what has arrived on them.
		NetServer.prototype.close.call(this.#server);
		this.#isAccepting = false;
		await resumeReading(open());
	}

	/** Resolves once each connection has carried a request, or could have. */
	async untilUsed(): Promise<void> {
		await Promise.race([this.#unused.untilEmpty(), delay(firstRequestWaitMs, undefined, {ref: false})]);
	}
}

/** Reads a few connections in each turn, so that timers are not held up. */
async function resumeReading(sockets: Iterable<Socket>): Promise<void> {
	let resumed = 0;
	for (const socket of sockets) {
		socket.resume();
		resumed += 1;
		if (resumed % resumedInTurn === 0) {
			await waitTurns(1);
		}
	}
}
