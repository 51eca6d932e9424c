/** Simulates processes with ticket tables and the network between them, for tests of random interleavings. */
import type {IncarnationId} from '../../model/ids.js';
import {ManualClock} from '../../model/manual-clock.js';
import type {Outcome} from '../outcome.js';
import {notRun, unknown} from '../runs/outcomes.js';
import {fingerprintOf} from '../../model/request-fingerprint.js';
import {parseTicket, type Ticket} from './ticket.js';
import {TicketTableSet} from './ticket-table-set.js';

export const slots = 3;
export const tickets = 6;
/** Repeated entries make an action more likely to be picked. */
export const actionTypes = [
	...Array.from({length: 5}, () => 'deliver' as const), 'send', 'send', 'send', 'transmit', 'transmit', 'finish', 'finish', 'lose', 'pause', 'crash', 'advance', 'hand-over',
] as const;

export type Action = {readonly type: typeof actionTypes[number]; readonly slot: number; readonly pick: number};

const fingerprint = fingerprintOf({
	service: 'ledger', method: 'POST', path: '/deposits', body: new Uint8Array(3),
});
const answered: Outcome = {type: 'answered', answer: {statusCode: 201, headers: [], body: new Uint8Array(10)}};

type CallerAttempt = {readonly ticket: number; readonly attempt: number; reportedAt?: number; reported?: Outcome};
type Run = {readonly ticket: number; readonly attempt: number; readonly startedAt: number; sentAt?: number; readonly joined: CallerAttempt[]};
type Process = {
	readonly id: IncarnationId;
	readonly tables: TicketTableSet;
	readonly runs: Run[];
	successor?: Process;
	hasHandedOver: boolean;
	isPaused: boolean;
	isAlive: boolean;
};
type Message = {readonly callerAttempt: CallerAttempt; readonly to: Process; readonly isForwarded: boolean};

/**
 * Simulates the processes and their messages and records every request that reached an upstream. Callers with odd
 * ticket numbers send the count of their previous attempts.
 */
export class TicketSimulation {
	readonly callerAttempts: CallerAttempt[] = [];
	readonly sentRuns: Run[] = [];
	readonly #clock = new ManualClock();
	readonly #processes: Process[] = [];
	readonly #current: Process[];
	/** Each ticket is issued when a caller first uses it. */
	readonly #tickets: Ticket[] = [];
	readonly #network: Message[] = [];
	#step = 0;

	constructor() {
		this.#current = Array.from({length: slots}, () => this.#startProcess());
	}

	apply(action: Action): void {
		this.#step += 1;
		const process = this.#current[action.slot]!;
		switch (action.type) {
			case 'send': {
				const attempt = this.callerAttempts.filter(callerAttempt => callerAttempt.ticket === action.pick % tickets).length;
				const callerAttempt = {ticket: action.pick % tickets, attempt};
				this.#tickets[callerAttempt.ticket] ??= parseTicket(this.#current[callerAttempt.ticket % 2]!.tables.issue().text)!;
				this.callerAttempts.push(callerAttempt);
				this.#network.push({callerAttempt, to: process, isForwarded: false});
				break;
			}

			case 'deliver': {
				this.#deliver(action.pick);
				break;
			}

			case 'lose': {
				const message = this.#take(action.pick);
				this.#reportTo(message?.callerAttempt, unknown('owner-unreachable'));
				break;
			}

			case 'transmit': {
				this.#transmit(process, action.pick);
				break;
			}

			case 'finish': {
				this.#finish(process, action.pick);
				break;
			}

			case 'pause': {
				process.isPaused = !process.isPaused;
				break;
			}

			case 'crash': {
				if (action.pick % 4 === 0) {
					process.isAlive = false;
					this.#current[action.slot] = this.#startProcess();
				}

				break;
			}

			case 'advance': {
				this.#clock.advance(action.pick * 30);
				break;
			}

			case 'hand-over': {
				this.#handOver(process, this.#current[action.pick % slots]!, action.pick % 2 === 0);
				break;
			}
		}
	}

	#startProcess(): Process {
		const id = `process-${this.#processes.length}` as IncarnationId;
		const options = {
			clock: this.#clock, lifetimeMs: 1000, outcomeRetentionMs: 1000, maximumEntries: 2, maximumAnswerBytes: 15, maximumVoided: 1,
		};
		const process = {
			id, tables: new TicketTableSet(options, id, new Uint8Array(32).fill(this.#processes.length)), runs: [], hasHandedOver: false, isPaused: false, isAlive: true,
		};
		this.#processes.push(process);
		return process;
	}

	#take(pick: number): Message | undefined {
		return this.#network.splice(pick % Math.max(1, this.#network.length), 1)[0];
	}

	#deliver(pick: number): void {
		const message = this.#take(pick);
		if (!message) {
			return;
		}

		const {callerAttempt, to} = message;
		if (to.isPaused) {
			this.#network.push(message);
			return;
		}

		const ticket = this.#tickets[callerAttempt.ticket]!;
		const previousAttempts = callerAttempt.ticket % 2 === 1 ? callerAttempt.attempt : undefined;
		const decision = to.isAlive ? to.tables.decide({ticket, fingerprint, previousAttempts}) : {type: 'end' as const, outcome: unknown('owner-gone')};
		switch (decision.type) {
			case 'run': {
				to.runs.push({
					ticket: callerAttempt.ticket, attempt: callerAttempt.attempt, startedAt: this.#step, joined: [callerAttempt],
				});
				break;
			}

			case 'join': {
				to.runs.find(run => run.ticket === callerAttempt.ticket)!.joined.push(callerAttempt);
				break;
			}

			case 'end': {
				this.#reportTo(callerAttempt, decision.outcome);
				break;
			}

			case 'sealed': {
				this.#forward(message, to.successor);
				break;
			}

			case 'elsewhere': {
				this.#forward(message, this.#processes.find(process => process.id === decision.owner));
				break;
			}
		}
	}

	#forward(message: Message, to: Process | undefined): void {
		if (to === undefined) {
			this.#reportTo(message.callerAttempt, unknown('owner-unreachable'));
			return;
		}

		// A forwarded request may be delivered after its sender gave up on it, and it may be delivered twice.
		this.#network.push({callerAttempt: message.callerAttempt, to, isForwarded: true}, {callerAttempt: {...message.callerAttempt}, to, isForwarded: true});
	}

	#transmit(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (run && !process.isPaused && run.sentAt === undefined) {
			run.sentAt = this.#step;
			this.sentRuns.push(run);
		}
	}

	#finish(process: Process, pick: number): void {
		const index = pick % Math.max(1, process.runs.length);
		const run = process.runs[index];
		if (!run || process.isPaused) {
			return;
		}

		process.runs.splice(index, 1);
		const ifSent = pick % 2 === 0 ? answered : unknown('connection-lost');
		const outcome = run.sentAt === undefined ? notRun('shed-by-upstream') : ifSent;
		process.tables.recordOutcome(this.#tickets[run.ticket]!, outcome);
		for (const callerAttempt of run.joined) {
			this.#reportTo(callerAttempt, outcome);
		}
	}

	#handOver(from: Process, to: Process, isReplyLost: boolean): void {
		if (from === to || from.isPaused) {
			return;
		}

		from.tables.seal();
		if (from.tables.runningCount > 0 || from.hasHandedOver) {
			return;
		}

		from.hasHandedOver = true;
		from.successor = isReplyLost ? undefined : to;
		for (const state of from.tables.toStates()) {
			to.tables.adopt(state);
		}
	}

	#reportTo(callerAttempt: CallerAttempt | undefined, outcome: Outcome): void {
		if (callerAttempt && !callerAttempt.reported) {
			callerAttempt.reported = outcome;
			callerAttempt.reportedAt = this.#step;
			// The duplicate of a forwarded request counts as an attempt of its own, and both must get a correct outcome.
			this.callerAttempts.push(...(this.callerAttempts.includes(callerAttempt) ? [] : [callerAttempt]));
		}
	}
}

