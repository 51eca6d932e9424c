/** Holds the requests that reach an instance just after its start until it has the state to serve them. */
import type {Clock} from '@cairnbank/core';

/**
 * Other instances transfer their state within a few hundred milliseconds of a start. A refused caller retries later than that,
 * on a new connection, and mostly has no further attempt left.
 */
const maximumHoldMs = 250;
const pollIntervalMs = 10;

export type StartupGateOptions = {
	readonly clock: Clock;
	/** Returns whether requests can be served. */
	readonly canServe: () => boolean;
	readonly pause: (durationMs: number) => Promise<void>;
};

export class StartupGate {
	readonly #options: StartupGateOptions;

	constructor(options: StartupGateOptions) {
		this.#options = options;
	}

	/** Resolves once requests can be served, or after the longest hold. */
	async waitUntilReady(): Promise<void> {
		const {clock, canServe, pause} = this.#options;
		const untilMs = clock.monotonicMs() + maximumHoldMs;
		while (!canServe() && clock.monotonicMs() < untilMs) {
			await pause(pollIntervalMs);
		}
	}
}
