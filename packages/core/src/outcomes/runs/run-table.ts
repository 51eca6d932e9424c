/**
 * The state machine of at most one run per id: absent, running, ended, forgotten.
 *
 * A not-run end is final for every send that the caller made before it was told, as an earlier send may still be
 * on its way. Only a send that counts itself as later may run.
 */
import type {Clock} from '../../model/clock.js';
import type {Outcome} from '../outcome.js';
import {notRun, unknown} from './outcomes.js';
import type {RunDecision} from './run-decision.js';
import type {EndedEntry, RunningEntry, RunRequest} from './run-entry.js';
import type {RunTableState} from './run-table-state.js';

export type RunTableOptions = {
	readonly clock: Clock;
	/** How long an ended entry is kept. The owner of the table relies on it: see `TicketTable`. */
	readonly keepEndedMs: number;
	/** Bound on running and ended entries together. */
	readonly maximumEntries: number;
	/** Bound on running entries alone; absent: none but the one above. */
	readonly maximumRunning?: number;
	/** Bound on the bytes of kept answers. */
	readonly maximumAnswerBytes: number;
};

export class RunTable {
	readonly #options: RunTableOptions;
	readonly #running = new Map<string, RunningEntry>();
	/** In order of their end, so the oldest is first. */
	readonly #ended = new Map<string, EndedEntry>();
	/** Sizes of kept answers in order of their end. */
	readonly #answerBytes = new Map<string, number>();
	#heldBytes = 0;
	#sealed = false;

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
		return this.#heldBytes;
	}

	/** Whether a new id finds room. */
	get hasRoom(): boolean {
		this.forgetExpired();
		const {maximumEntries, maximumRunning = maximumEntries} = this.#options;
		return this.entryCount < maximumEntries && this.runningCount < maximumRunning;
	}

	has(id: string): boolean {
		this.forgetExpired();
		return this.#running.has(id) || this.#ended.has(id);
	}

	/** What later sends of an ended id are told. */
	outcomeOf(id: string): Outcome | undefined {
		return this.#ended.get(id)?.outcome;
	}

	/** Whether every send that joined a running id said that it is the caller's first. */
	isFirstAttempt(id: string): boolean {
		return this.#running.get(id)?.throughAttempt === 0;
	}

	/** Decides a send whose id may be new. The caller has checked `hasRoom` for a new one. */
	begin(request: RunRequest): RunDecision {
		this.forgetExpired();
		const running = this.#running.get(request.id);
		if (running) {
			return this.#join(running, request);
		}

		const ended = this.#ended.get(request.id);
		return ended ? this.#repeat(ended, request) : this.#start(request);
	}

	/** Records the end of a run and keeps its answer while there is room. */
	end(id: string, outcome: Outcome): void {
		const entry = this.#running.get(id);
		if (!entry) {
			throw new Error(`run ${id} ended without running`);
		}

		this.#running.delete(id);
		const keepUntilMs = this.#options.clock.monotonicMs() + this.#options.keepEndedMs;
		this.#keep(id, {...entry, outcome: toKept(outcome), keepUntilMs});
	}

	/** From here on no run starts; joins and kept ends go on. */
	seal(): void {
		this.#sealed = true;
	}

	get isSealed(): boolean {
		return this.#sealed;
	}

	/** Takes back a run that was never started here, because another instance owns it. */
	release(id: string): void {
		this.#running.delete(id);
	}

	forgetExpired(): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const [id, entry] of this.#ended) {
			if (entry.keepUntilMs > nowMs) {
				return;
			}

			this.#ended.delete(id);
			this.#dropAnswer(id);
		}
	}

	/** The ended entries, for hand-over. Runs must have ended. */
	toState(): RunTableState {
		if (this.#running.size > 0 || !this.#sealed) {
			throw new Error('a run table is handed over once it is sealed and its runs have ended');
		}

		this.forgetExpired();
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

	/** Takes over the entries of a table that was handed over. */
	restore(state: RunTableState): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const entry of state.entries) {
			const {fingerprint, outcome} = entry;
			const throughAttempt = entry.throughAttempt ?? Number.POSITIVE_INFINITY;
			this.#keep(entry.id, {
				fingerprint, outcome, throughAttempt, keepUntilMs: nowMs + entry.keepForMs,
			});
		}
	}

	#start(request: RunRequest): RunDecision {
		if (this.#sealed) {
			return {type: 'sealed'};
		}

		const throughAttempt = attemptOf(request);
		this.#running.set(request.id, {fingerprint: request.fingerprint, throughAttempt});
		return {type: 'run'};
	}

	#join(entry: RunningEntry, request: RunRequest): RunDecision {
		if (entry.fingerprint !== request.fingerprint) {
			return {type: 'end', outcome: notRun('key-reused')};
		}

		entry.throughAttempt = Math.max(entry.throughAttempt, attemptOf(request));
		return {type: 'join'};
	}

	#repeat(entry: EndedEntry, request: RunRequest): RunDecision {
		if (entry.fingerprint !== request.fingerprint) {
			return {type: 'end', outcome: notRun('key-reused')};
		}

		const isLater = (request.previousAttempts ?? 0) > entry.throughAttempt;
		if (entry.outcome.type !== 'not-run' || !isLater) {
			return {type: 'end', outcome: entry.outcome};
		}

		const decision = this.#start(request);
		if (decision.type === 'run') {
			this.#ended.delete(request.id);
		}

		return decision;
	}

	#keep(id: string, entry: EndedEntry): void {
		this.#ended.set(id, entry);
		if (entry.outcome.type !== 'answered') {
			return;
		}

		const bytes = answerSize(entry.outcome);
		this.#answerBytes.set(id, bytes);
		this.#heldBytes += bytes;
		this.#dropOldestAnswers();
	}

	#dropOldestAnswers(): void {
		for (const id of this.#answerBytes.keys()) {
			if (this.#heldBytes <= this.#options.maximumAnswerBytes) {
				return;
			}

			this.#dropAnswer(id);
			const entry = this.#ended.get(id);
			if (entry) {
				entry.outcome = unknown('answer-not-held');
			}
		}
	}

	#dropAnswer(id: string): void {
		this.#heldBytes -= this.#answerBytes.get(id) ?? 0;
		this.#answerBytes.delete(id);
	}
}

function attemptOf(request: RunRequest): number {
	return request.previousAttempts ?? Number.POSITIVE_INFINITY;
}

/** What other sends of a request are told: an answer that was passed on as it came is not held. */
export function toKept(outcome: Outcome): Outcome {
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
