/** Exit codes of `cairnbank`, for scripts. */
export const exitCodes = {
	success: 0,
	/** Wrong use, bad input or bad settings; trying again unchanged is of no use. */
	usageError: 2,
	/** Another operator's change came first; look at it, then decide. */
	conflict: 3,
	/** A service could not be reached, or the result is not known. */
	unavailable: 4,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** What each code means, for help texts. */
export const exitCodesHelp = [
	'  0  done',
	'  2  wrong use, or faults in a file or in the settings',
	'  3  conflict: another change of the same part came first',
	'  4  not reachable, not in force in time, or the result is not known',
].join('\n');
