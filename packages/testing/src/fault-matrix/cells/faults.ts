/** Faults that the matrix covers, in the order of the table's rows. */
export const faults = [
	'straggler',
	'upstream drains',
	'fail-fast',
	'upstream crash',
	'log down',
	'log slow',
	'acknowledgement lost',
	'instance paused',
	'two operators',
	'poison request',
	'instance killed',
	'instance replaced',
	'instance shut down',
	'instance list lagging',
	'misleading health',
	'late answer',
	'reordered answers',
	'truncated answer',
] as const;

export type Fault = typeof faults[number];

export function isFault(text: string): text is Fault {
	return (faults as readonly string[]).includes(text);
}
