/** Counts and logs the connections that are ended because a port has too many. */
import type {Context} from './context.js';

const logIntervalMs = 1000;

/** @returns a function to call for each of them; it logs once in a while, as there may be thousands */
export function endedConnections({clock, logger, metrics}: Pick<Context, 'clock' | 'logger' | 'metrics'>, port: string, maximumConnections: number): () => void {
	let loggedAtMs = Number.NEGATIVE_INFINITY;
	return () => {
		metrics.endedConnections.inc({port});
		const nowMs = clock.monotonicMs();
		if (nowMs - loggedAtMs >= logIntervalMs) {
			loggedAtMs = nowMs;
			logger.warn('connection ended, as there are too many', {port, maximumConnections});
		}
	};
}
