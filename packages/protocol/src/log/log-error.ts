/** Why a call to the platform's log gave no usable answer. */
export type LogError =
	/** Nothing was sent, so an append did not take effect. */
	| {readonly type: 'unreachable'; readonly message: string}
	/** Bytes were sent and no answer came: an append may have taken effect. */
	| {readonly type: 'unacknowledged'; readonly message: string}
	/** The log refused the call, so an append did not take effect. */
	| {readonly type: 'refused'; readonly statusCode: number; readonly message: string}
	/** The answer does not follow the log's protocol. */
	| {readonly type: 'malformed'; readonly message: string};
