/** A ticket table as it is handed over to exactly one successor at a planned stop. */
import type {IncarnationId} from '../../model/ids.js';
import type {RunTableState} from '../runs/run-table-state.js';

export type TicketTableState = {
	readonly owner: IncarnationId;
	/** Base64url. */
	readonly macKey: string;
	readonly nextSequence: number;
	/** The owner's monotonic time when the state was taken. */
	readonly ownerNowMs: number;
	/** Tickets below it that are not in the table never run. */
	readonly voidBelow: number;
	readonly voided: readonly number[];
	readonly runs: RunTableState;
};
