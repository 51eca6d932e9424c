/** Tells an upstream's crash from the ordinary reset of a connection. */

export type CrashVerdict<Request> =
	/** Every connection broke and a new one is refused: any of the requests may have caused it. */
	| {readonly type: 'crashed'; readonly inFlight: readonly Request[]}
	/** The upstream still accepts connections: the losses were ordinary resets. */
	| {readonly type: 'alive'; readonly inFlight: readonly Request[]}
	/** Connections are still open, so that one more connect has to tell. */
	| {readonly type: 'undecided'};

export type CrashDetectorSettings = {
	/** A loss counts towards a crash only if a connect is refused within this time. */
	readonly windowMs: number;
	/** Losses kept while the verdict is out; more than an upstream has slots. */
	readonly maximumLosses: number;
};

export const defaultCrashDetectorSettings: CrashDetectorSettings = {windowMs: 2000, maximumLosses: 256};

type Loss<Request> = {readonly request: Request; readonly atMs: number};

/** Collects the requests that one upstream lost until a connect tells why. */
export class CrashDetector<Request> {
	readonly #settings: CrashDetectorSettings;
	#losses: Array<Loss<Request>> = [];

	constructor(settings: CrashDetectorSettings = defaultCrashDetectorSettings) {
		this.#settings = settings;
	}

	/** Whether losses wait for a verdict. */
	get isUndecided(): boolean {
		return this.#losses.length > 0;
	}

	/**
	 * A connection broke while a request was in flight on it.
	 * @param request What was in flight.
	 * @param nowMs Monotonic time.
	 */
	lost(request: Request, nowMs: number): void {
		if (this.#losses.length < this.#settings.maximumLosses) {
			this.#losses.push({request, atMs: nowMs});
		}
	}

	/** A connect succeeded, which proves the upstream alive. */
	connected(): CrashVerdict<Request> {
		const inFlight = this.#losses.map(loss => loss.request);
		this.#losses = [];
		return {type: 'alive', inFlight};
	}

	/**
	 * A connect was refused.
	 * @param openConnections Connections to the upstream that still stand.
	 * @param nowMs Monotonic time.
	 */
	refused(openConnections: number, nowMs: number): CrashVerdict<Request> {
		if (openConnections > 0) {
			return {type: 'undecided'};
		}

		const recent = this.#losses.filter(loss => nowMs - loss.atMs <= this.#settings.windowMs);
		this.#losses = [];
		return {type: 'crashed', inFlight: recent.map(loss => loss.request)};
	}
}
