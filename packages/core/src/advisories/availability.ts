/** Availability of an upstream to this instance, according to its advisories. */

export type Availability =
	| {readonly type: 'available'}
	/** It is about to stop and accepts nothing until it has restarted. */
	| {readonly type: 'leaving'}
	/** It has asked this instance to send nothing for some time. */
	| {readonly type: 'backing-off'; readonly remainingMs: number};

/** Returns whether anything may be sent to the upstream, including health checks. */
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
