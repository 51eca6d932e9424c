/** Whether an upstream takes anything from this instance, by what it has advised. */

export type Availability =
	| {readonly type: 'available'}
	/** It is about to stop, and takes nothing until it starts anew. */
	| {readonly type: 'leaving'}
	/** It has turned this instance away for some time. */
	| {readonly type: 'backing-off'; readonly remainingMs: number};

/** Whether anything may be sent there, a health check too. */
export function mayReceive({type}: Availability): boolean {
	switch (type) {
		case 'available': {
			return true;
		}

		case 'leaving':
		case 'backing-off': {
			return false;
		}
	}
}
