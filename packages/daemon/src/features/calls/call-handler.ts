/** The way of a call through the features: each stage may end it or pass it on. */
import type {Outcome} from '@cairnbank/core/outcomes';
import type {Call} from './call.js';

export type CallHandler = (call: Call) => Promise<Outcome>;

/** Wraps the rest of the way. */
export type CallStage = {
	readonly name: string;
	wrap(next: CallHandler): CallHandler;
};

/** Joins stages into one handler; the first stage sees a call first. */
export function composeStages(stages: readonly CallStage[], last: CallHandler): CallHandler {
	let handler = last;
	for (const stage of stages.toReversed()) {
		handler = stage.wrap(handler);
	}

	return handler;
}
