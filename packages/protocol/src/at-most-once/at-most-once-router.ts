/** Calls between daemons that keep a request from running twice. */
import {peerTrpc} from '../peers/peer-trpc.js';
import {forwardAnswerSchema, type ForwardAnswer} from './forward-answer.js';
import {forwardedCallSchema, type ForwardedCall} from './forwarded-call.js';
import {
	handOverAnswerSchema, handOverCommitSchema, handOverPartSchema, type HandOverAnswer, type HandOverCommit, type HandOverPart,
} from './hand-over.js';

export type AtMostOnceHandler = {
	/** Runs, joins or repeats a request whose table is held here. */
	forward(call: ForwardedCall): Promise<ForwardAnswer>;
	/** Keeps a part of a hand-over until its commit. */
	handOverPart(part: HandOverPart): HandOverAnswer;
	/** Puts a hand-over in force; a repeated commit answers the same. */
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
