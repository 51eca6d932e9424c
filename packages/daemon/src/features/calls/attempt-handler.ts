/** The last stage of the call pipeline: sends attempts to upstreams until the call has its outcome. */
import {AttemptLoop} from './attempt-loop.js';
import type {AttemptDependencies} from './attempt-dependencies.js';
import type {CallHandler} from './call-handler.js';

export function createAttemptHandler(dependencies: AttemptDependencies): CallHandler {
	return async call => new AttemptLoop(call, dependencies).run();
}
