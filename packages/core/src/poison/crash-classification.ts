/** Distinguishes the crash of an upstream from an ordinary connection reset. */

/** The result of a connection attempt that is made after a connection with a request in flight was lost. */
export type ConnectResult = 'accepted' | 'refused' | 'timed-out';

export type CrashClassification =
	/** All connections were lost and a new one is refused: any of the requests in flight may have caused the crash. */
	| 'crashed'
	/** The upstream still accepts connections: the lost ones were ordinary resets. */
	| 'alive'
	/** Connections are still open, or the connection attempt was inconclusive: another attempt is needed. */
	| 'undecided';

/**
 * Classifies the state of an upstream after requests to it were lost.
 * @param connectResult Result of a new connection attempt.
 * @param openConnections Number of connections to the upstream that are still open.
 */
export function classifyCrash(connectResult: ConnectResult, openConnections: number): CrashClassification {
	switch (connectResult) {
		case 'accepted': {
			return 'alive';
		}

		case 'refused': {
			return openConnections === 0 ? 'crashed' : 'undecided';
		}

		case 'timed-out': {
			return 'undecided';
		}
	}
}
