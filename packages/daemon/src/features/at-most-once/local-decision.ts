/** What this process does with one bound send. */
import type {IncarnationId} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';

export type LocalDecision =
	/** The table is held here; this is or will be the outcome, by the send's deadline. */
	| {readonly type: 'here'; readonly outcome: Promise<Outcome>}
	/** The table of this process decides. */
	| {readonly type: 'elsewhere'; readonly owner: IncarnationId}
	/** The table is sealed: whoever takes it over decides. */
	| {readonly type: 'sealed'};
