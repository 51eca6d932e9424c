/** Exit codes of `cairnbank`, which scripts rely on. */
export const exitCodes = {
	success: 0,
	/** Wrong usage, invalid input or invalid settings. Running the same command again fails again. */
	usageError: 2,
	/** Another operator changed the same part first. The operator has to review that change before publishing again. */
	conflict: 3,
	/** A service could not be reached, a change was not in force in time, or the result is unknown. */
	unavailable: 4,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** The meaning of each code, for help texts. */
export const exitCodesHelp = [
	'  0  done',
	'  2  wrong usage, or an invalid file or invalid settings',
	'  3  conflict: another change to the same part was published first',
	'  4  service not reachable, change not in force in time, or result unknown',
].join('\n');
