/** The reason why an instance could not start. */
export type StartError = {readonly type: 'cannot-listen'; readonly listener: string; readonly message: string};
