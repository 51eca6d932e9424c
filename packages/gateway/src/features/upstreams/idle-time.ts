/** Reads how long a connection to an upstream may stay idle. */
import {headerOf} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';

const millisecondsPerSecond = 1000;
/** Idle timeout of a connection if the upstream advertises none. */
export const defaultIdleMs = 4000;
/** Connections expire this much before the upstream's idle timeout, so that no request is sent while the upstream closes. */
const idleMarginMs = 1000;

/** Returns the time for which the connection of an answer may be used again. */
export function idleTimeMs(answer: UpstreamAnswer): number {
	const advertised = /timeout=(\d+)/.exec(headerOf(answer.headers, 'keep-alive') ?? '')?.[1];
	const idleMs = advertised === undefined ? defaultIdleMs : Number(advertised) * millisecondsPerSecond;
	return Math.max(0, idleMs - idleMarginMs);
}
