/** Why it cannot be told whether a request ran. */
export const unknownReasons = [
	'connection-lost',
	'deadline-exceeded',
	'answer-truncated',
	'owner-unreachable',
	'owner-gone',
	'answer-not-held',
	'ticket-expired',
	'claim-lost',
	'caller-gone',
] as const;

export type UnknownReason = typeof unknownReasons[number];
