/** Simulates processes with idempotency key tables, the log and the network, for tests of random interleavings. */
import type {IncarnationId} from '../../model/ids.js';
import {ManualClock} from '../../model/manual-clock.js';
import {notRun, unknown} from '../runs/outcomes.js';
import type {IdempotencyKey} from './idempotency-key.js';
import type {IdempotencyKeyDecision} from './idempotency-key-decision.js';
import {
	answered, createProcess, fingerprint, createKey, reportTo, reportToAll, type Message, type Process, type Run, type CallerAttempt,
} from './key-simulation-parts-fixture.js';
import {LogModel} from './log-model-fixture.js';

export const slots = 3;
export const keys = 4;
/** Repeated entries make an action more likely to be picked. */
export const actionTypes = [
	...Array.from({length: 5}, () => ['deliver', 'append', 'take-effect', 'read'] as const).flat(),
	...Array.from({length: 3}, () => ['send', 'report', 'transmit'] as const).flat(),
	'finish',
	'finish',
	'give-up',
	'pause',
	'crash',
	'advance',
] as const;

export type Action = {readonly type: typeof actionTypes[number]; readonly slot: number; readonly pick: number};

/**
 * Simulates the processes, the log and their messages and records every request that reached an upstream. Callers
 * with odd key numbers send the count of their previous attempts.
 */
export class KeySimulation {
	readonly callerAttempts: CallerAttempt[] = [];
	readonly sentRuns: Run[] = [];
	readonly #clock = new ManualClock();
	readonly #keys: IdempotencyKey[];
	readonly #log: LogModel;
	readonly #network: Message[] = [];
	readonly #processes: Process[] = [];
	readonly #current: Process[];
	#step = 0;

	constructor(retentionMs: number) {
		this.#log = new LogModel(this.#clock, retentionMs);
		const startMs = this.#clock.now().getTime();
		this.#keys = Array.from({length: keys}, (_, index) => createKey(startMs + (index > 1 ? 400 : 0), index));
		this.#current = Array.from({length: slots}, () => this.#startProcess());
	}

	apply({type, slot, pick}: Action): void {
		this.#step += 1;
		const process = this.#current[slot]!;
		const unlessPaused = (action: () => void) => process.isPaused ? undefined : action;
		const actions: Record<Action['type'], (() => void) | undefined> = {
			send: () => {
				this.#send(process, pick % keys);
			},
			deliver: () => {
				this.#deliver(pick);
			},
			append: unlessPaused(() => {
				this.#append(process);
			}),
			'take-effect': () => {
				this.#log.takeEffect(pick);
			},
			report: () => {
				this.#log.reportAppend(pick);
			},
			read: unlessPaused(() => {
				this.#read(process, 1 + (pick % 4));
			}),
			'give-up': unlessPaused(() => {
				this.#abandonClaim(process, pick);
			}),
			transmit: unlessPaused(() => {
				this.#transmit(process, pick);
			}),
			finish: unlessPaused(() => {
				this.#finish(process, pick);
			}),
			pause() {
				process.isPaused = !process.isPaused;
			},
			crash: pick % 3 > 0
				? undefined
				: () => {
					process.isAlive = false;
					this.#current[slot] = this.#startProcess();
				},
			advance: () => {
				this.#clock.advance(pick * 30);
				this.#log.removeExpired();
			},
		};
		actions[type]?.();
	}

	#send(process: Process, key: number): void {
		const callerAttempt = {key, attempt: this.callerAttempts.filter(each => each.key === key).length};
		this.#closeOpenAttempts(key);
		this.callerAttempts.push(callerAttempt);
		this.#network.push({callerAttempt, to: process, isForwarded: false});
	}

	#append(process: Process): void {
		const claims = process.batcher.takeBatch();
		if (claims) {
			const value = {
				type: 'claims', id: `r-${this.#step}`, owner: process.id, claims,
			};
			this.#log.begin(process, value);
		}
	}

	/** A caller that counts its attempts closes the connection of one attempt before it starts the next. */
	#closeOpenAttempts(key: number): void {
		for (const callerAttempt of this.callerAttempts.filter(each => key % 2 === 1 && each.key === key && !each.reported)) {
			reportTo(callerAttempt, unknown('caller-gone'), this.#step);
		}
	}

	#startProcess(): Process {
		const id = `process-${this.#processes.length}` as IncarnationId;
		const process = createProcess(id, this.#clock);
		this.#read(process, 100);
		this.#processes.push(process);
		return process;
	}

	#deliver(pick: number): void {
		const message = this.#network.splice(pick % Math.max(1, this.#network.length), 1)[0];
		if (message?.to.isPaused && message.to.isAlive) {
			this.#network.push(message);
			return;
		}

		if (message) {
			this.#decide(message);
		}
	}

	#decide(message: Message): void {
		const {callerAttempt, to, isForwarded} = message;
		if (!to.isAlive) {
			reportTo(callerAttempt, unknown('owner-gone'), this.#step);
			return;
		}

		const request = {key: this.#keys[callerAttempt.key]!, fingerprint, previousAttempts: callerAttempt.key % 2 === 1 ? callerAttempt.attempt : undefined};
		const decision: IdempotencyKeyDecision = isForwarded ? to.table.decideOwnedKey(request) : to.table.decide(request, this.#step % 5 > 0);
		switch (decision.type) {
			case 'run':
			case 'claim': {
				const isClaiming = decision.type === 'claim';
				to.runs.push({
					key: callerAttempt.key, attempt: callerAttempt.attempt, isClaiming, joined: [callerAttempt],
				});
				break;
			}

			case 'join': {
				to.runs.find(run => run.key === callerAttempt.key)!.joined.push(callerAttempt);
				break;
			}

			case 'elsewhere': {
				this.#forward(callerAttempt, decision.owner);
				break;
			}

			case 'end': {
				reportTo(callerAttempt, decision.outcome, this.#step);
				break;
			}

			case 'sealed': {
				break;
			}
		}
	}

	#forward(callerAttempt: CallerAttempt, owner: IncarnationId): void {
		const to = this.#processes.find(process => process.id === owner)!;
		this.#network.push({callerAttempt, to, isForwarded: true});
	}

	#read(process: Process, limit: number): void {
		process.claimIndex.apply(this.#log.recordsAfter(process.claimIndex.throughOffset, limit), this.#log.earliestOffset);
		for (const run of process.runs.filter(each => each.isClaiming)) {
			const resolution = process.table.resolveClaim(this.#keys[run.key]!);
			switch (resolution.type) {
				case 'run': {
					run.isClaiming = false;
					break;
				}

				case 'end': {
					this.#removeRun(process, run);
					reportToAll(run, resolution.outcome, this.#step);
					break;
				}

				case 'elsewhere': {
					this.#removeRun(process, run);
					for (const callerAttempt of run.joined) {
						this.#forward(callerAttempt, resolution.owner);
					}

					break;
				}

				case 'pending': {
					break;
				}
			}
		}
	}

	#abandonClaim(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (run?.isClaiming) {
			this.#removeRun(process, run);
			reportToAll(run, process.table.abandonClaim(this.#keys[run.key]!), this.#step);
		}
	}

	#transmit(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (run && !run.isClaiming && run.sentAt === undefined) {
			run.sentAt = this.#step;
			this.sentRuns.push(run);
		}
	}

	#finish(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (!run || run.isClaiming) {
			return;
		}

		this.#removeRun(process, run);
		const ifSent = pick % 2 === 0 ? answered : unknown('connection-lost');
		const outcome = run.sentAt === undefined ? notRun('shed-by-upstream') : ifSent;
		process.table.recordOutcome(this.#keys[run.key]!, outcome);
		reportToAll(run, outcome, this.#step);
	}

	#removeRun(process: Process, run: Run): void {
		process.runs = process.runs.filter(each => each !== run);
	}
}
