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
	/** No claim of the key was proven in time; another instance may hold one. */
	'claim-unproven',
	/** The retained log no longer shows whether the key was claimed. */
	'key-too-old',
	'caller-gone',
] as const;

export type UnknownReason = typeof unknownReasons[number];
