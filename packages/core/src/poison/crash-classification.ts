/** Tells an upstream's crash from the ordinary reset of a connection. */

/** How one more connect ended, after a connection broke with a request on it. */
export type ConnectResult = 'accepted' | 'refused' | 'timed-out';

export type CrashClassification =
	/** Every connection broke and a new one is refused: each request that was in flight may have caused it. */
	| 'crashed'
	/** The upstream still accepts connections: the losses were ordinary resets. */
	| 'alive'
	/** Connections are still open, or the connect told nothing: one more has to tell. */
	| 'undecided';

/**
 * Judges an upstream that lost requests.
 * @param connect How the connect ended.
 * @param openConnections Connections to the upstream that still stand.
 */
export function classifyCrash(connect: ConnectResult, openConnections: number): CrashClassification {
	switch (connect) {
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
