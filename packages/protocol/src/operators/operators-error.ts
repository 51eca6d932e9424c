/** Why an instance gave no usable answer to an operator. */
export type OperatorsError =
	| {readonly type: 'unreachable'; readonly message: string}
	/** The secret is not accepted there. */
	| {readonly type: 'unauthorized'}
	/** It answered with a fault of its own. */
	| {readonly type: 'failed'; readonly message: string}
	/** Its answer has another form; it may run another version. */
	| {readonly type: 'malformed'; readonly message: string};
