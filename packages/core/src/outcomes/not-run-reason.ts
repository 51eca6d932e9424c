/** Reasons why a request provably did not run. Callers receive them as the type of the problem document. */
export const notRunReasons = [
	'malformed-request',
	'unknown-service',
	'no-configuration',
	'no-upstream',
	'connection-refused',
	'shed-by-upstream',
	'queue-full',
	'queue-timeout',
	'deadline-exceeded',
	'request-too-large',
	'answers-held-full',
	'instance-busy',
	'suspected-poison',
	'claim-unproven',
	'key-too-old',
	'key-reused',
	'ticket-invalid',
	/** An earlier use of the ticket was answered with not-run, which is final for the ticket; the response carries a new ticket. */
	'ticket-void',
	'caller-gone',
	'stopping',
] as const;

export type NotRunReason = typeof notRunReasons[number];
