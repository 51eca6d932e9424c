/** Limits the connections of a port; counts and logs those that are ended because there are too many. */
import type {Context} from './context.js';

const logIntervalMs = 1000;

export type ConnectionLimit = {
	readonly maximumConnections: number;
	/** Called for each connection that is ended because there are too many. */
	readonly onTooMany: () => void;
};

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
