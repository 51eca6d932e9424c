/** Decides which requests of one connection run, and with which answer the connection closes. */

/** Requests of a connection that run or wait for their turn to be answered; callers that send ahead have a few under way. */
export const maximumStarted = 8;
/** Requests that are read and kept beyond those that run. The connection closes behind them, as reading must go on to notice that the caller leaves. */
export const maximumWaiting = 56;

export type Arrival =
	| 'started'
	/** Starts once an earlier request is answered. */
	| 'waiting'
	/** Never starts, as the connection closes before its turn. */
	| 'ignored';

/** Holds the requests of a connection in the order of their arrival, which is the order of their answers. */
export class RequestSequence<Request> {
	readonly #started: Request[] = [];
	readonly #waiting: Request[] = [];
	#isClosing = false;
	#startsAtOnce = false;

	/** True if no request is left and none will start. */
	get isOver(): boolean {
		return this.#isClosing && this.#started.length === 0;
	}

	/** True if requests that arrive from now on are ignored. */
	get isClosing(): boolean {
		return this.#isClosing;
	}

	/** True if the next request starts at once, as few enough are under way. */
	get startsNext(): boolean {
		return this.#startsAtOnce || this.#started.length < maximumStarted;
	}

	/** Requests that were started and not yet answered, in order. */
	get started(): readonly Request[] {
		return this.#started;
	}

	/** Requests that were started or wait, in order. */
	get unanswered(): readonly Request[] {
		return [...this.#started, ...this.#waiting];
	}

	/** @param closesBehind - whether the caller reads no answer after that of this request */
	arrived(request: Request, closesBehind: boolean): Arrival {
		if (this.#isClosing) {
			return 'ignored';
		}

		const mayStart = this.startsNext;
		(mayStart ? this.#started : this.#waiting).push(request);
		this.#isClosing = closesBehind || this.#started.length + this.#waiting.length >= maximumStarted + maximumWaiting;
		return mayStart ? 'started' : 'waiting';
	}

	/** Ignores requests that arrive from now on; the last one that arrived before closes the connection. */
	closeBehind(): void {
		this.#isClosing = true;
	}

	/** Starts all requests at once from now on, as each is refused. @returns those that waited and start now */
	startAtOnce(): Request[] {
		this.#startsAtOnce = true;
		const waited = this.#waiting.splice(0);
		this.#started.push(...waited);
		return waited;
	}

	/** Returns whether it is this request's turn to be answered. */
	isFirst(request: Request): boolean {
		return this.#started[0] === request;
	}

	/**
	 * Decides, as the answer of the first request is written, whether it closes the connection. If so, no further request starts.
	 *
	 * @param wantsClose - whether the connection should close as soon as no request is lost
	 */
	closesWith(request: Request, wantsClose: boolean): boolean {
		const isLast = this.#started.at(-1) === request && this.#waiting.length === 0;
		this.#isClosing ||= isLast && wantsClose;
		return isLast && this.#isClosing;
	}

	/** Removes a request that waits. @returns whether it was waiting */
	withdraw(request: Request): boolean {
		const index = this.#waiting.indexOf(request);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}

		return index !== -1;
	}

	/** @returns the request that starts as this one has been answered, if any */
	ended(request: Request): Request | undefined {
		const index = this.#started.indexOf(request);
		if (index === -1) {
			return undefined;
		}

		this.#started.splice(index, 1);
		const next = this.#waiting.shift();
		if (next !== undefined) {
			this.#started.push(next);
		}

		return next;
	}
}
