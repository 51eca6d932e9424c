/** Cells that cannot arise, each with its reason. */
import type {Fault} from './faults.js';
import type {RequestStep} from './request-steps.js';

export type ImpossibleCell = {
	readonly fault: Fault;
	readonly steps: readonly RequestStep[];
	readonly reason: string;
};

const beforeUpstream: readonly RequestStep[] = ['address asked', 'ticket or claim taken'];
const noUpstreamYet = 'no upstream takes part in this step';
const answersOnly: readonly RequestStep[] = [...beforeUpstream, 'queued', 'connecting', 'request half sent'];

export const impossibleCells: readonly ImpossibleCell[] = [
	{fault: 'straggler', steps: beforeUpstream, reason: noUpstreamYet},
	{fault: 'straggler', steps: ['answer passed on'], reason: 'the daemon holds the whole answer by then; a larger one is a row of its own, truncated answer'},
	{fault: 'upstream drains', steps: beforeUpstream, reason: noUpstreamYet},
	{fault: 'fail-fast', steps: beforeUpstream, reason: noUpstreamYet},
	{fault: 'fail-fast', steps: ['answer half received', 'answer passed on'], reason: 'a fast failure is a whole answer; one cut short is the row truncated answer'},
	{fault: 'upstream crash', steps: beforeUpstream, reason: noUpstreamYet},
	{fault: 'poison request', steps: [...beforeUpstream, 'queued', 'connecting', 'request half sent'], reason: 'only an upstream that runs the request crashes of it'},
	{fault: 'poison request', steps: ['answer half received', 'answer passed on'], reason: 'an upstream that answers did not crash; one that crashes while it answers is the row upstream crash'},
	{fault: 'misleading health', steps: beforeUpstream, reason: noUpstreamYet},
	{fault: 'misleading health', steps: ['answer half received', 'answer passed on', 'resent'], reason: 'health decides only the choice of upstream, which is over by then'},
	{fault: 'late answer', steps: answersOnly, reason: 'nothing can be answered before the request is sent'},
	{fault: 'reordered answers', steps: answersOnly, reason: 'nothing can be answered before the request is sent'},
	{fault: 'truncated answer', steps: [...answersOnly, 'sent'], reason: 'an answer is truncated only once its first bytes are there'},
	{
		fault: 'acknowledgement lost',
		steps: ['address asked', 'queued', 'connecting', 'request half sent', 'sent', 'answer half received', 'answer passed on'],
		reason: 'a request appends to the log only where its claim is taken',
	},
	{fault: 'instance list lagging', steps: ['ticket or claim taken', 'request half sent', 'sent', 'answer half received', 'answer passed on'], reason: 'the list is not consulted in this step'},
];

/** Why the cell cannot arise; undefined where it can. */
export function reasonImpossible(fault: Fault, step: RequestStep): string | undefined {
	return impossibleCells.find(cell => cell.fault === fault && cell.steps.includes(step))?.reason;
}
