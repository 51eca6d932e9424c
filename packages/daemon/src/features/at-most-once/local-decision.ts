/** The decision of this process about one call with a ticket or key. */
import type {IncarnationId} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';

export type LocalDecision =
	/** This process holds the table. The promise settles with the outcome by the deadline of the call. */
	| {readonly type: 'here'; readonly outcome: Promise<Outcome>}
	/** The process `owner` holds the table and decides. */
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId}
	/** The table is sealed: the process that takes it over decides. */
	| {readonly type: 'sealed'};
