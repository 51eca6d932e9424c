/** Counts and logs the connections that are ended because a port has too many. */
import type {Context} from './context.js';
import type {ConnectionLimit} from './last-answers.js';

const logIntervalMs = 1000;

/** Returns the limit of a port, which logs once in a while, as there may be thousands to end. */
export function connectionLimit({clock, logger, metrics}: Pick<Context, 'clock' | 'logger' | 'metrics'>, port: string, maximumConnections: number): ConnectionLimit {
	let loggedAtMs = Number.NEGATIVE_INFINITY;
	const onTooMany = () => {
		metrics.endedConnections.inc({port});
		const nowMs = clock.monotonicMs();
		if (nowMs - loggedAtMs >= logIntervalMs) {
			loggedAtMs = nowMs;
			logger.warn('connection ended, as there are too many', {port, maximumConnections});
		}
	};

	return {maximumConnections, onTooMany};
}
