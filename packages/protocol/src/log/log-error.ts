/** Reason that a call to the platform's log failed. */
export type LogError =
	/** Nothing was sent, so an append did not take effect. */
	| {readonly type: 'unreachable'; readonly message: string}
	/** Bytes may have been sent and no valid acknowledgement came: an append may have taken effect. */
	| {readonly type: 'unacknowledged'; readonly message: string}
	/** The log refused the call, so an append did not take effect. */
	| {readonly type: 'refused'; readonly statusCode: number; readonly message: string}
	/** The answer does not conform to the log's protocol. */
	| {readonly type: 'malformed'; readonly message: string};
