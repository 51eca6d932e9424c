/** The reason why the daemon could not start. */
export type StartError =
	| {readonly type: 'cannot-listen'; readonly listener: string; readonly message: string}
	| {readonly type: 'stopped-during-start'};
