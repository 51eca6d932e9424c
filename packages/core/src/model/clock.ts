/** Clocks are passed as arguments, so that tests can control the time. */

/** Provides calendar time and monotonic time. */
export type Clock = {
	/** Calendar time, for values that other processes read. It may jump. */
	now(): Date;
	/** Monotonic time in milliseconds, for durations. It never runs backwards. */
	monotonicMs(): number;
};

/** The operating system's clock. */
export const systemClock: Clock = {
	now: () => new Date(),
	monotonicMs: () => performance.now(),
};
