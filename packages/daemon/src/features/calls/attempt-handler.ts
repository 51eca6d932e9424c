/** The last stage of a call: attempts at upstreams until one outcome is reached. */
import type {Clock, UpstreamId} from '@cairnbank/core';
import type {AttemptResult, Outcome} from '@cairnbank/core/outcomes';
import type {ChosenUpstream} from '../upstreams/upstreams-task.js';
import type {Call} from './call.js';
import type {CallHandler} from './call-handler.js';
import type {ServiceInForce} from './service-in-force.js';
import {attemptUpstream} from './upstream-attempt.js';

export type AttemptHandlerOptions = {
	readonly clock: Clock;
	readonly heldAnswerBytes: number;
	choose(service: ServiceInForce, excluded: ReadonlySet<UpstreamId>): ChosenUpstream | undefined;
};

export function createAttemptHandler(options: AttemptHandlerOptions): CallHandler {
	return async call => runAttempts(call, options);
}

async function runAttempts(call: Call, options: AttemptHandlerOptions): Promise<Outcome> {
	const tried = new Set<UpstreamId>();
	let last: AttemptResult = {type: 'not-run', reason: 'no-upstream'};
	while (tried.size < call.service.rules.retries.maximumAttempts) {
		const chosen = options.choose(call.service, tried);
		const remainingMs = call.deadlineAtMs - options.clock.monotonicMs();
		if (!chosen) {
			return last;
		}

		if (remainingMs <= 0) {
			return tried.size === 0 ? {type: 'not-run', reason: 'deadline-exceeded'} : last;
		}

		tried.add(chosen.upstream.id);
		last = await attemptUpstream({
			call, upstream: chosen.upstream.id, dispatcher: chosen.dispatcher, remainingMs, heldAnswerBytes: options.heldAnswerBytes,
		});
		if (last.type !== 'not-run') {
			return last;
		}
	}

	return last;
}
