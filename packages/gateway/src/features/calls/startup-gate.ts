/** Holds requests of an instance that has just started until it knows what it needs to serve them. */
import type {Clock} from '@cairnbank/core';

/**
 * Others hand over what they know within some hundred milliseconds of a start. A caller that is refused comes back later than
 * that, on a new connection, and mostly has no further try.
 */
const maximumHoldMs = 250;
const lookMs = 10;

export type StartHoldOptions = {
	readonly clock: Clock;
	/** Whether requests can be served. */
	readonly isKnown: () => boolean;
	readonly pause: (durationMs: number) => Promise<void>;
};

export class StartupGate {
	readonly #options: StartHoldOptions;

	constructor(options: StartHoldOptions) {
		this.#options = options;
	}

	/** Resolves once requests can be served, or can't be for too long. */
	async ready(): Promise<void> {
		const {clock, isKnown, pause} = this.#options;
		const untilMs = clock.monotonicMs() + maximumHoldMs;
		while (!isKnown() && clock.monotonicMs() < untilMs) {
			await pause(lookMs);
		}
	}
}
