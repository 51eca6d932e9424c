/** The serialized form of a ticket table, which is handed over to exactly one successor when a process stops as planned. */
import type {IncarnationId} from '../../model/ids.js';
import type {RunTableState} from '../runs/run-table-state.js';

export type TicketTableState = {
	readonly owner: IncarnationId;
	/** Encoded as base64url. */
	readonly macKey: string;
	readonly nextSequence: number;
	/** The owner's monotonic time at which this state was created. */
	readonly ownerNowMs: number;
	/** Tickets with a lower sequence number that have no entry in the table must not run. */
	readonly voidBelow: number;
	readonly voided: readonly number[];
	readonly runs: RunTableState;
};
