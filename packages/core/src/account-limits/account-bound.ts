/** The bound within which all instances together keep the requests of an account, and the reserves that it leaves beyond the limit. */
import type {AccountRateLimit} from '../accounts/client-account.js';

/** In any window, at most (rate x window + burst) x (1 + excess) + slack requests of an account may run. */
export type AccountBound = {
	readonly windowMs: number;
	readonly excessRatio: number;
	/** Further requests in a window. */
	readonly slackRequests: number;
};

export const defaultAccountBound: AccountBound = {windowMs: 5000, excessRatio: 0.1, slackRequests: 20};

/** Part of what the bound allows beyond the limit that is used at once; the rest covers grants that arrive late and views that differ. */
const reserveRatio = 0.25;
const millisecondsPerSecond = 1000;

/** The number of requests that may run in any window. */
export function maximumInWindow({requestsPerSecond, burst}: AccountRateLimit, {windowMs, excessRatio, slackRequests}: AccountBound): number {
	return (((requestsPerSecond * windowMs / millisecondsPerSecond) + burst) * (1 + excessRatio)) + slackRequests;
}

/** Tokens beyond the limit that a bucket may hold, and with which an owner starts that doesn't know what was used before. */
export function reserveOf(limit: AccountRateLimit, bound: AccountBound): number {
	const {requestsPerSecond, burst} = limit;
	const allowed = (requestsPerSecond * bound.windowMs / millisecondsPerSecond) + burst;
	return (maximumInWindow(limit, bound) - allowed) * reserveRatio;
}
