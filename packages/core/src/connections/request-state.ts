/** State of a caller's request, from its arrival to the last byte of its answer. */
export const requestStates = [
	/** It waits on its connection until earlier ones have been answered. */
	'waiting',
	/** It is held until the instance knows enough to serve requests. */
	'starting',
	'reading-body',
	/** The rate limit of its client account is being checked. */
	'admission',
	/** An upstream is being chosen for it or works on it. */
	'running',
	/** Its outcome is known and waits for earlier answers on its connection. */
	'answered',
	'writing',
] as const;

export type RequestState = (typeof requestStates)[number];

/** What the end of a stop does with a request, so that it gets an answer that is true of its state. */
export type FinalStep =
	/** It was never sent to an upstream and never will be, so it is refused as not run. */
	| 'refuse'
	/** Its attempts are ended, and it gets what they have shown. */
	| 'end-run'
	/** Its answer is known and is still delivered. */
	| 'deliver';

export function finalStepOf(state: RequestState): FinalStep {
	switch (state) {
		case 'waiting':
		case 'starting':
		case 'reading-body':
		case 'admission': {
			return 'refuse';
		}

		case 'running': {
			return 'end-run';
		}

		case 'answered':
		case 'writing': {
			return 'deliver';
		}
	}
}
