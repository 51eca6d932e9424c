/** Tells an upstream's crash from the ordinary reset of a connection. */

/** How a connection ended. */
export type ConnectionEnd =
	/** Closed while idle, or after a whole answer: nothing is to be blamed. */
	| 'graceful'
	/** Broken while a request was in flight on it. */
	| 'lost';

export type CrashVerdict<Request> =
	/** Every connection broke and a new one is refused: any of the requests may have caused it. */
	| {readonly type: 'crashed'; readonly inFlight: readonly Request[]}
	/** The upstream still accepts connections: the losses were ordinary resets. */
	| {readonly type: 'alive'; readonly inFlight: readonly Request[]}
	/** Connections are still open, or nothing was lost. */
	| {readonly type: 'undecided'};

export type CrashDetectorSettings = {
	/** A loss counts towards a crash only if a connect is refused within this time. */
	readonly windowMs: number;
	/** Losses kept while the verdict is out; more than an upstream has slots. */
	readonly maximumLosses: number;
};

export const defaultCrashDetectorSettings: CrashDetectorSettings = {windowMs: 2000, maximumLosses: 256};

type Loss<Request> = {readonly request: Request; readonly atMs: number};

/** Watches the connections of one upstream. */
export class CrashDetector<Request> {
	readonly #settings: CrashDetectorSettings;
	#openConnections = 0;
	#losses: Array<Loss<Request>> = [];

	constructor(settings: CrashDetectorSettings = defaultCrashDetectorSettings) {
		this.#settings = settings;
	}

	/** Whether losses wait for a verdict, which takes one more connect. */
	get isUndecided(): boolean {
		return this.#losses.length > 0;
	}

	/** A connect succeeded, which proves the upstream alive. */
	connected(nowMs: number): CrashVerdict<Request> {
		this.#openConnections += 1;
		return this.#decide('alive', nowMs);
	}

	/**
	 * A connection ended.
	 * @param end How.
	 * @param inFlight The request on it, if one was.
	 * @param nowMs Monotonic time.
	 */
	disconnected(end: ConnectionEnd, inFlight: Request | undefined, nowMs: number): void {
		this.#openConnections = Math.max(0, this.#openConnections - 1);
		if (end === 'lost' && inFlight !== undefined && this.#losses.length < this.#settings.maximumLosses) {
			this.#losses.push({request: inFlight, atMs: nowMs});
		}
	}

	/** A connect was refused. */
	refused(nowMs: number): CrashVerdict<Request> {
		return this.#openConnections > 0 ? {type: 'undecided'} : this.#decide('crashed', nowMs);
	}

	#decide(type: 'crashed' | 'alive', nowMs: number): CrashVerdict<Request> {
		const recent = this.#losses.filter(loss => nowMs - loss.atMs <= this.#settings.windowMs);
		this.#losses = [];
		return recent.length === 0 ? {type: 'undecided'} : {type, inFlight: recent.map(loss => loss.request)};
	}
}
