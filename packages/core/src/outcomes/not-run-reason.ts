/** Why a request provably did not run; told to callers as the problem's type. */
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
	/** The ticket was told not run before and stays so; the answer brings a fresh one. */
	'ticket-void',
	'caller-gone',
	'stopping',
] as const;

export type NotRunReason = typeof notRunReasons[number];
