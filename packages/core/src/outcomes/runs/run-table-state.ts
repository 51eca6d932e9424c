/** The serialized form of a run table, which is handed over when a process stops as planned. */
import type {Outcome} from '../outcome.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';

export type HandedOverEntry = {
	readonly id: string;
	readonly fingerprint: Fingerprint;
	/** If absent, no later attempt may run. */
	readonly throughAttempt?: number;
	readonly outcome: Outcome;
	readonly keepForMs: number;
};

export type RunTableState = {
	/** Ordered by the time at which the runs ended. */
	readonly entries: readonly HandedOverEntry[];
};
