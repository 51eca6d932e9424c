/** A model of processes and the network around ticket offices, for interleavings. */
import type {IncarnationId} from '../../model/ids.js';
import {ManualClock} from '../../model/manual-clock.js';
import type {Outcome} from '../outcome.js';
import {notRun, unknown} from '../runs/outcomes.js';
import {fingerprintOf} from '../../model/request-fingerprint.js';
import {parseTicket, type Ticket} from './ticket.js';
import {TicketOffice} from './ticket-office.js';

export const slots = 3;
export const tickets = 6;
/** Some are more frequent than others. */
export const actionTypes = [
	...Array.from({length: 5}, () => 'deliver' as const), 'send', 'send', 'send', 'transmit', 'transmit', 'finish', 'finish', 'lose', 'pause', 'crash', 'advance', 'hand-over',
] as const;

export type Action = {readonly type: typeof actionTypes[number]; readonly slot: number; readonly pick: number};

const fingerprint = fingerprintOf({
	service: 'ledger', method: 'POST', path: '/deposits', body: new Uint8Array(3),
});
const answered: Outcome = {type: 'answered', answer: {statusCode: 201, headers: [], body: new Uint8Array(10)}};

type Send = {readonly ticket: number; readonly attempt: number; toldAt?: number; told?: Outcome};
type Run = {readonly ticket: number; readonly attempt: number; readonly startedAt: number; sentAt?: number; readonly joined: Send[]};
type Process = {readonly id: IncarnationId; readonly office: TicketOffice; readonly runs: Run[]; successor?: Process; handedOver: boolean; paused: boolean; alive: boolean};
type Message = {readonly send: Send; readonly to: Process; readonly forwarded: boolean};

/** Processes, the messages between them and a count of true runs. Callers with odd tickets count their sends. */
export class TicketWorld {
	readonly sends: Send[] = [];
	readonly sentRuns: Run[] = [];
	readonly #clock = new ManualClock();
	readonly #processes: Process[] = [];
	readonly #current: Process[];
	/** Issued when first sent. */
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
				const attempt = this.sends.filter(send => send.ticket === action.pick % tickets).length;
				const send = {ticket: action.pick % tickets, attempt};
				this.#tickets[send.ticket] ??= parseTicket(this.#current[send.ticket % 2]!.office.issue().text)!;
				this.sends.push(send);
				this.#network.push({send, to: process, forwarded: false});
				break;
			}

			case 'deliver': {
				this.#deliver(action.pick);
				break;
			}

			case 'lose': {
				const message = this.#take(action.pick);
				this.#tell(message?.send, unknown('owner-unreachable'));
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
				process.paused = !process.paused;
				break;
			}

			case 'crash': {
				if (action.pick % 4 === 0) {
					process.alive = false;
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
			clock: this.#clock, lifetimeMs: 1000, keepEndedMs: 1000, maximumEntries: 2, maximumAnswerBytes: 15, maximumVoided: 1,
		};
		const process = {
			id, office: new TicketOffice(options, id, new Uint8Array(32).fill(this.#processes.length)), runs: [], handedOver: false, paused: false, alive: true,
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

		const {send, to} = message;
		if (to.paused) {
			this.#network.push(message);
			return;
		}

		const ticket = this.#tickets[send.ticket]!;
		const previousAttempts = send.ticket % 2 === 1 ? send.attempt : undefined;
		const decision = to.alive ? to.office.begin({ticket, fingerprint, previousAttempts}) : {type: 'end' as const, outcome: unknown('owner-gone')};
		switch (decision.type) {
			case 'run': {
				to.runs.push({
					ticket: send.ticket, attempt: send.attempt, startedAt: this.#step, joined: [send],
				});
				break;
			}

			case 'join': {
				to.runs.find(run => run.ticket === send.ticket)!.joined.push(send);
				break;
			}

			case 'end': {
				this.#tell(send, decision.outcome);
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
			this.#tell(message.send, unknown('owner-unreachable'));
			return;
		}

		// A forward may be delivered although its sender gave up on it; and it may be delivered twice.
		this.#network.push({send: message.send, to, forwarded: true}, {send: {...message.send}, to, forwarded: true});
	}

	#transmit(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (run && !process.paused && run.sentAt === undefined) {
			run.sentAt = this.#step;
			this.sentRuns.push(run);
		}
	}

	#finish(process: Process, pick: number): void {
		const index = pick % Math.max(1, process.runs.length);
		const run = process.runs[index];
		if (!run || process.paused) {
			return;
		}

		process.runs.splice(index, 1);
		const ifSent = pick % 2 === 0 ? answered : unknown('connection-lost');
		const outcome = run.sentAt === undefined ? notRun('shed-by-upstream') : ifSent;
		process.office.end(this.#tickets[run.ticket]!, outcome);
		for (const send of run.joined) {
			this.#tell(send, outcome);
		}
	}

	#handOver(from: Process, to: Process, answerLost: boolean): void {
		if (from === to || from.paused) {
			return;
		}

		from.office.seal();
		if (from.office.runningCount > 0 || from.handedOver) {
			return;
		}

		from.handedOver = true;
		from.successor = answerLost ? undefined : to;
		for (const state of from.office.toStates()) {
			to.office.adopt(state);
		}
	}

	#tell(send: Send | undefined, outcome: Outcome): void {
		if (send && !send.told) {
			send.told = outcome;
			send.toldAt = this.#step;
			// The duplicate of a forward has its own caller here; both must have been told the truth.
			this.sends.push(...(this.sends.includes(send) ? [] : [send]));
		}
	}
}

