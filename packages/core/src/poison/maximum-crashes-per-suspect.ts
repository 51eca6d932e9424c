/** Maximum number of crash reports that are kept per suspect. The latest ones are kept. */
export const maximumCrashesPerSuspect = 6;
