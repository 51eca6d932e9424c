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
