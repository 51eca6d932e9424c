/** Status codes and problem details of the outcomes for which the daemon itself creates the answer. */
import type {NotRunReason, UnknownReason} from '@cairnbank/core/outcomes';

const badRequest = 400;
const notFound = 404;
const conflict = 409;
const contentTooLarge = 413;
const unprocessable = 422;
const unavailable = 503;

/** 503 means that the same request may run later without changes; for all other codes the caller has to change something first. */
export const notRunStatusCodes: Readonly<Record<NotRunReason, number>> = {
	'malformed-request': badRequest,
	'ticket-invalid': badRequest,
	'unknown-service': notFound,
	'ticket-void': conflict,
	'key-too-old': conflict,
	'request-too-large': contentTooLarge,
	'key-reused': unprocessable,
	'no-configuration': unavailable,
	'no-upstream': unavailable,
	'connection-refused': unavailable,
	'shed-by-upstream': unavailable,
	'queue-full': unavailable,
	'queue-timeout': unavailable,
	'deadline-exceeded': unavailable,
	'answers-held-full': unavailable,
	'instance-busy': unavailable,
	'suspected-poison': unavailable,
	'claim-unproven': unavailable,
	'caller-gone': unavailable,
	stopping: unavailable,
};

/** Details of the reasons whose names alone do not show what the caller can do next. */
export const outcomeDetails: Readonly<Partial<Record<NotRunReason | UnknownReason, string>>> = {
	'claim-unproven': 'the log did not prove a claim of this key in time; a request that was never sent before can run under a ticket from POST /.well-known/cairnbank/tickets',
	'key-too-old': 'the key is past the time in which it can be claimed; a request that is known not to have run needs a new key',
	'key-reused': 'the ticket or key was used for another request',
	'ticket-void': 'an earlier send under this ticket was told not run, which holds; take a new ticket',
	'ticket-expired': 'the ticket has expired and no table tells whether its request ran',
	'answer-not-held': 'the request ran or its run was forgotten; its answer is no longer held',
};
