/** The last stage of a call: attempts at upstreams until one outcome is reached. */
import {AttemptLoop} from './attempt-loop.js';
import type {AttemptDependencies} from './attempt-dependencies.js';
import type {CallHandler} from './call-handler.js';

export function createAttemptHandler(dependencies: AttemptDependencies): CallHandler {
	return async call => new AttemptLoop(call, dependencies).run();
}
