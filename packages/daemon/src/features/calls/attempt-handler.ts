/** The last stage of a call: attempts at upstreams until one outcome is reached. */
import {AttemptLoop} from './attempt-loop.js';
import type {AttemptParts} from './attempt-parts.js';
import type {CallHandler} from './call-handler.js';

export function createAttemptHandler(parts: AttemptParts): CallHandler {
	return async call => new AttemptLoop(call, parts).run();
}
