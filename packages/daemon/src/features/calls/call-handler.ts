/** The pipeline that a call passes through: each stage either ends the call or hands it to the next stage. */
import type {Outcome} from '@cairnbank/core/outcomes';
import type {Call} from './call.js';

export type CallHandler = (call: Call) => Promise<Outcome>;

/** A stage of the pipeline; it wraps the stages that follow it. */
export type CallStage = {
	readonly name: string;
	wrap(next: CallHandler): CallHandler;
};

/** Combines the stages into one handler; the first stage receives a call first. */
export function composeStages(stages: readonly CallStage[], last: CallHandler): CallHandler {
	let handler = last;
	for (const stage of stages.toReversed()) {
		handler = stage.wrap(handler);
	}

	return handler;
}
