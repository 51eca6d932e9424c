/** Time as an argument, so that decisions can be replayed in tests. */

/** Source of time. */
export type Clock = {
	/** Calendar time, for what other processes read. It may jump. */
	now(): Date;
	/** Milliseconds that never run backwards, for durations. */
	monotonicMs(): number;
};

/** The clock of the operating system. */
export const systemClock: Clock = {
	now: () => new Date(),
	monotonicMs: () => performance.now(),
};
