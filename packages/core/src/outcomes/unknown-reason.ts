/** Reasons why it is unknown whether a request ran. */
export const unknownReasons = [
	'connection-lost',
	'deadline-exceeded',
	'answer-truncated',
	'owner-unreachable',
	'owner-gone',
	'answer-not-held',
	'ticket-expired',
	'claim-lost',
	/** No claim of the key was confirmed in time; another instance may hold one. */
	'claim-unproven',
	/** The records that would show whether the key was claimed are no longer in the log. */
	'key-too-old',
	'caller-gone',
	'stopping',
	/** A fault of the program ended the call. */
	'internal-error',
] as const;

export type UnknownReason = typeof unknownReasons[number];
