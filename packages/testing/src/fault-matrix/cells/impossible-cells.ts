/** Combinations of fault and step that cannot occur, each with the reason. */
import type {Fault} from './faults.js';
import type {RequestStep} from './request-steps.js';

export type ImpossibleCell = {
	readonly fault: Fault;
	readonly steps: readonly RequestStep[];
	readonly reason: string;
};

const stepsBeforeUpstream: readonly RequestStep[] = ['addresses requested', 'ticket or claim taken'];
const noUpstreamReason = 'no upstream is involved in this step';
const stepsBeforeSent: readonly RequestStep[] = [...stepsBeforeUpstream, 'queued', 'connecting', 'request half sent'];

export const impossibleCells: readonly ImpossibleCell[] = [
	{fault: 'straggler', steps: stepsBeforeUpstream, reason: noUpstreamReason},
	{fault: 'straggler', steps: ['answer forwarded'], reason: 'the daemon has buffered the complete answer by then; answers too large to buffer are covered by the row truncated answer'},
	{fault: 'upstream drains', steps: stepsBeforeUpstream, reason: noUpstreamReason},
	{fault: 'fail-fast', steps: stepsBeforeUpstream, reason: noUpstreamReason},
	{fault: 'fail-fast', steps: ['answer half received', 'answer forwarded'], reason: 'a fast failure is a complete answer; incomplete answers are covered by the row truncated answer'},
	{fault: 'upstream crash', steps: stepsBeforeUpstream, reason: noUpstreamReason},
	{fault: 'poison request', steps: [...stepsBeforeUpstream, 'queued', 'connecting', 'request half sent'], reason: 'the request crashes only an upstream that runs it'},
	{fault: 'poison request', steps: ['answer half received', 'answer forwarded'], reason: 'an upstream that answers has not crashed; a crash while it answers is covered by the row upstream crash'},
	{fault: 'misleading health', steps: stepsBeforeUpstream, reason: noUpstreamReason},
	{fault: 'misleading health', steps: ['answer half received', 'answer forwarded', 'resent'], reason: 'health affects only the choice of upstream, which is complete by then'},
	{fault: 'late answer', steps: stepsBeforeSent, reason: 'no answer is possible before the request is sent'},
	{fault: 'reordered answers', steps: stepsBeforeSent, reason: 'no answer is possible before the request is sent'},
	{fault: 'truncated answer', steps: [...stepsBeforeSent, 'sent'], reason: 'an answer can be truncated only after its first bytes have arrived'},
	{
		fault: 'acknowledgement lost',
		steps: ['addresses requested', 'queued', 'connecting', 'request half sent', 'sent', 'answer half received', 'answer forwarded'],
		reason: 'a request appends to the log only when its claim is taken',
	},
	{fault: 'instance list lagging', steps: ['ticket or claim taken', 'request half sent', 'sent', 'answer half received', 'answer forwarded'], reason: 'the instance list is not read in this step'},
];

/** Returns why the cell cannot occur, or undefined if it can. */
export function reasonImpossible(fault: Fault, step: RequestStep): string | undefined {
	return impossibleCells.find(cell => cell.fault === fault && cell.steps.includes(step))?.reason;
}
