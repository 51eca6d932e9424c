/** Procedures between daemons that keep a request from running more than once. */
import {peerTrpc} from '../peers/peer-trpc.js';
import {forwardAnswerSchema, type ForwardAnswer} from './forward-answer.js';
import {forwardedCallSchema, type ForwardedCall} from './forwarded-call.js';
import {
	handOverAnswerSchema, handOverCommitSchema, handOverPartSchema, type HandOverAnswer, type HandOverCommit, type HandOverPart,
} from './hand-over.js';

export type AtMostOnceHandler = {
	/** Runs a request whose ticket or key table is here, waits for a running one, or repeats its stored outcome. */
	forward(call: ForwardedCall): Promise<ForwardAnswer>;
	/** Stores a part of a hand-over until its commit. */
	handOverPart(part: HandOverPart): HandOverAnswer;
	/** Takes over the tables of a hand-over. Idempotent: a repeated commit gets the same answer. */
	handOverCommit(commit: HandOverCommit): HandOverAnswer;
};

export function createAtMostOnceRouter(handler: AtMostOnceHandler) {
	return peerTrpc.router({
		forward: peerTrpc.procedure.input(forwardedCallSchema).output(forwardAnswerSchema)
			.mutation(async ({input}) => handler.forward(input)),
		handOverPart: peerTrpc.procedure.input(handOverPartSchema).output(handOverAnswerSchema)
			.mutation(({input}) => handler.handOverPart(input)),
		handOverCommit: peerTrpc.procedure.input(handOverCommitSchema).output(handOverAnswerSchema)
			.mutation(({input}) => handler.handOverCommit(input)),
	});
}
