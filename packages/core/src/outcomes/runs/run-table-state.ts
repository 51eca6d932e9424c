/** A run table as it is handed over at a planned stop. */
import type {Outcome} from '../outcome.js';
import type {Fingerprint} from '../../model/fingerprint-schema.js';

export type HandedOverEntry = {
	readonly id: string;
	readonly fingerprint: Fingerprint;
	/** Absent: no later send may run. */
	readonly throughAttempt?: number;
	readonly outcome: Outcome;
	readonly keepForMs: number;
};

export type RunTableState = {
	/** In order of their end. */
	readonly entries: readonly HandedOverEntry[];
};
