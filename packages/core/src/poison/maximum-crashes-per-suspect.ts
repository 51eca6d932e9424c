/** Reports of crashes kept per suspect, the latest ones. */
export const maximumCrashesPerSuspect = 6;
