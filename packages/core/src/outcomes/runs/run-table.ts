/**
 * Ensures that each id runs at most once. An id is absent, then running, then ended, and finally expires.
 *
 * A not-run outcome is final for all attempts that the caller made before it received the outcome, because an earlier
 * attempt may still be in transit. Only an attempt whose count shows that it was made later may run.
 */
import type {Clock} from '../../model/clock.js';
import type {Outcome} from '../outcome.js';
import {notRun, unknown} from './outcomes.js';
import type {RunDecision} from './run-decision.js';
import type {EndedEntry, RunningEntry, RunRequest} from './run-entry.js';
import type {RunTableState} from './run-table-state.js';

export type RunTableOptions = {
	readonly clock: Clock;
	/** Time for which an ended entry is kept. The correctness of `TicketTable` depends on this time. */
	readonly outcomeRetentionMs: number;
	/** Limit on running and ended entries together. */
	readonly maximumEntries: number;
	/** Limit on running entries. If absent, only `maximumEntries` applies. */
	readonly maximumRunning?: number;
	/** Limit on the total size of stored responses in bytes. */
	readonly maximumAnswerBytes: number;
};

export class RunTable {
	readonly #options: RunTableOptions;
	readonly #running = new Map<string, RunningEntry>();
	/** Ordered by the time at which the runs ended, oldest first. */
	readonly #ended = new Map<string, EndedEntry>();
	/** Sizes of the stored responses, ordered by the time at which the runs ended. */
	readonly #answerBytes = new Map<string, number>();
	#storedAnswerBytes = 0;
	#isSealed = false;

	constructor(options: RunTableOptions) {
		this.#options = options;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	get entryCount(): number {
		return this.#running.size + this.#ended.size;
	}

	get heldAnswerBytes(): number {
		return this.#storedAnswerBytes;
	}

	/** Whether the table can take another id. */
	get hasCapacity(): boolean {
		this.removeExpired();
		const {maximumEntries, maximumRunning = maximumEntries} = this.#options;
		return this.entryCount < maximumEntries && this.runningCount < maximumRunning;
	}

	has(id: string): boolean {
		this.removeExpired();
		return this.#running.has(id) || this.#ended.has(id);
	}

	/** Returns the outcome that is stored for an ended id. */
	outcomeOf(id: string): Outcome | undefined {
		return this.#ended.get(id)?.outcome;
	}

	/** Whether all attempts that joined the running id were marked as the caller's first attempt. */
	isFirstAttempt(id: string): boolean {
		return this.#running.get(id)?.throughAttempt === 0;
	}

	/** Decides how an attempt is handled. For a new id, the caller must have checked `hasCapacity`. */
	decide(request: RunRequest): RunDecision {
		this.removeExpired();
		const running = this.#running.get(request.id);
		if (running) {
			return this.#joinRun(running, request);
		}

		const ended = this.#ended.get(request.id);
		return ended ? this.#replay(ended, request) : this.#startRun(request);
	}

	/** Records the outcome of a run. Its response is stored until newer ones displace it. */
	recordOutcome(id: string, outcome: Outcome): void {
		const entry = this.#running.get(id);
		if (!entry) {
			throw new Error(`cannot record an outcome for ${id}: it is not running`);
		}

		this.#running.delete(id);
		const keepUntilMs = this.#options.clock.monotonicMs() + this.#options.outcomeRetentionMs;
		this.#store(id, {...entry, outcome: toStoredOutcome(outcome), keepUntilMs});
	}

	/** Stops new runs from starting. Attempts still join runs in progress and receive stored outcomes. */
	seal(): void {
		this.#isSealed = true;
	}

	get isSealed(): boolean {
		return this.#isSealed;
	}

	/** Removes a running entry that was never executed here, for example because another instance owns the key. */
	removeUnexecuted(id: string): void {
		this.#running.delete(id);
	}

	removeExpired(): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const [id, entry] of this.#ended) {
			if (entry.keepUntilMs > nowMs) {
				return;
			}

			this.#ended.delete(id);
			this.#removeAnswer(id);
		}
	}

	/** Returns the ended entries for hand-over. The table must be sealed and all runs must have ended. */
	toState(): RunTableState {
		if (this.#running.size > 0 || !this.#isSealed) {
			throw new Error('cannot hand over a run table before it is sealed and all its runs have ended');
		}

		this.removeExpired();
		const nowMs = this.#options.clock.monotonicMs();
		const entries = [...this.#ended].map(([id, entry]) => ({
			id,
			fingerprint: entry.fingerprint,
			throughAttempt: Number.isFinite(entry.throughAttempt) ? entry.throughAttempt : undefined,
			outcome: entry.outcome,
			keepForMs: entry.keepUntilMs - nowMs,
		}));
		return {entries};
	}

	/** Adds the entries of a table that another process handed over. */
	restore(state: RunTableState): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const entry of state.entries) {
			const {fingerprint, outcome} = entry;
			const throughAttempt = entry.throughAttempt ?? Number.POSITIVE_INFINITY;
			this.#store(entry.id, {
				fingerprint, outcome, throughAttempt, keepUntilMs: nowMs + entry.keepForMs,
			});
		}
	}

	#startRun(request: RunRequest): RunDecision {
		if (this.#isSealed) {
			return {type: 'sealed'};
		}

		const throughAttempt = attemptNumber(request);
		this.#running.set(request.id, {fingerprint: request.fingerprint, throughAttempt});
		return {type: 'run'};
	}

	#joinRun(entry: RunningEntry, request: RunRequest): RunDecision {
		if (entry.fingerprint !== request.fingerprint) {
			return {type: 'end', outcome: notRun('key-reused')};
		}

		entry.throughAttempt = Math.max(entry.throughAttempt, attemptNumber(request));
		return {type: 'join'};
	}

	#replay(entry: EndedEntry, request: RunRequest): RunDecision {
		if (entry.fingerprint !== request.fingerprint) {
			return {type: 'end', outcome: notRun('key-reused')};
		}

		const isLater = (request.previousAttempts ?? 0) > entry.throughAttempt;
		if (entry.outcome.type !== 'not-run' || !isLater) {
			return {type: 'end', outcome: entry.outcome};
		}

		const decision = this.#startRun(request);
		if (decision.type === 'run') {
			this.#ended.delete(request.id);
		}

		return decision;
	}

	#store(id: string, entry: EndedEntry): void {
		this.#ended.set(id, entry);
		if (entry.outcome.type !== 'answered') {
			return;
		}

		const bytes = answerSize(entry.outcome);
		this.#answerBytes.set(id, bytes);
		this.#storedAnswerBytes += bytes;
		this.#evictOldestAnswers();
	}

	#evictOldestAnswers(): void {
		for (const id of this.#answerBytes.keys()) {
			if (this.#storedAnswerBytes <= this.#options.maximumAnswerBytes) {
				return;
			}

			this.#removeAnswer(id);
			const entry = this.#ended.get(id);
			if (entry) {
				entry.outcome = unknown('answer-not-held');
			}
		}
	}

	#removeAnswer(id: string): void {
		this.#storedAnswerBytes -= this.#answerBytes.get(id) ?? 0;
		this.#answerBytes.delete(id);
	}
}

function attemptNumber(request: RunRequest): number {
	return request.previousAttempts ?? Number.POSITIVE_INFINITY;
}

/** Converts an outcome to the form that other attempts receive: a streamed response is not stored, so it is reported as unknown. */
export function toStoredOutcome(outcome: Outcome): Outcome {
	switch (outcome.type) {
		case 'streamed': {
			return unknown('answer-not-held');
		}

		case 'broken-off': {
			return unknown('answer-truncated');
		}

		case 'answered':
		case 'not-run':
		case 'unknown': {
			return outcome;
		}
	}
}

function answerSize(outcome: Extract<Outcome, {type: 'answered'}>): number {
	const {body, headers} = outcome.answer;
	return body.byteLength + headers.reduce((sum, text) => sum + text.length, 0);
}
