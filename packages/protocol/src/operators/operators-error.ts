/** Reason that an operator's call to an instance failed. */
export type OperatorsError =
	| {readonly type: 'unreachable'; readonly message: string}
	/** The instance does not accept the secret. */
	| {readonly type: 'unauthorized'}
	/** The instance answered with an error. */
	| {readonly type: 'failed'; readonly message: string}
	/** The answer does not match its schema; the instance may run another version. */
	| {readonly type: 'malformed'; readonly message: string};
