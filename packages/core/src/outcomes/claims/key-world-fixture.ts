/** A model of processes, the log and the network around key tables, for interleavings. */
import type {IncarnationId} from '../../model/ids.js';
import {ManualClock} from '../../model/manual-clock.js';
import {notRun, unknown} from '../runs/outcomes.js';
import type {IdempotencyKey} from './idempotency-key.js';
import type {KeyDecision} from './key-decision.js';
import {
	answered, createProcess, fingerprint, mintKey, tell, tellAll, type Message, type Process, type Run, type Send,
} from './key-world-parts-fixture.js';
import {LogModel} from './log-model-fixture.js';

export const slots = 3;
export const keys = 4;
/** Some are more frequent than others. */
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

/** Processes, the log, the messages between them and a count of true runs. Callers of odd keys count their sends. */
export class KeyWorld {
	readonly sends: Send[] = [];
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
		this.#keys = Array.from({length: keys}, (_, index) => mintKey(startMs + (index > 1 ? 400 : 0), index));
		this.#current = Array.from({length: slots}, () => this.#startProcess());
	}

	apply({type, slot, pick}: Action): void {
		this.#step += 1;
		const process = this.#current[slot]!;
		const ifAwake = (act: () => void) => process.paused ? undefined : act;
		const acts: Record<Action['type'], (() => void) | undefined> = {
			send: () => {
				this.#send(process, pick % keys);
			},
			deliver: () => {
				this.#deliver(pick);
			},
			append: ifAwake(() => {
				this.#append(process);
			}),
			'take-effect': () => {
				this.#log.takeEffect(pick);
			},
			report: () => {
				this.#log.report(pick);
			},
			read: ifAwake(() => {
				this.#read(process, 1 + (pick % 4));
			}),
			'give-up': ifAwake(() => {
				this.#giveUp(process, pick);
			}),
			transmit: ifAwake(() => {
				this.#transmit(process, pick);
			}),
			finish: ifAwake(() => {
				this.#finish(process, pick);
			}),
			pause() {
				process.paused = !process.paused;
			},
			crash: pick % 3 > 0
				? undefined
				: () => {
					process.alive = false;
					this.#current[slot] = this.#startProcess();
				},
			advance: () => {
				this.#clock.advance(pick * 30);
				this.#log.expire();
			},
		};
		acts[type]?.();
	}

	#send(process: Process, key: number): void {
		const send = {key, attempt: this.sends.filter(each => each.key === key).length};
		this.#hangUp(key);
		this.sends.push(send);
		this.#network.push({send, to: process, forwarded: false});
	}

	#append(process: Process): void {
		const claims = process.batcher.take();
		if (claims) {
			const value = {
				type: 'claims', id: `r-${this.#step}`, owner: process.id, claims,
			};
			this.#log.begin(process, value);
		}
	}

	/** A caller that counts its sends closes the connection of one before it sends the next. */
	#hangUp(key: number): void {
		for (const send of this.sends.filter(each => key % 2 === 1 && each.key === key && !each.told)) {
			tell(send, unknown('caller-gone'), this.#step);
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
		if (message?.to.paused && message.to.alive) {
			this.#network.push(message);
			return;
		}

		if (message) {
			this.#decide(message);
		}
	}

	#decide(message: Message): void {
		const {send, to, forwarded} = message;
		if (!to.alive) {
			tell(send, unknown('owner-gone'), this.#step);
			return;
		}

		const request = {key: this.#keys[send.key]!, fingerprint, previousAttempts: send.key % 2 === 1 ? send.attempt : undefined};
		const decision: KeyDecision = forwarded ? to.table.beginOwned(request) : to.table.begin(request, this.#step % 5 > 0);
		switch (decision.type) {
			case 'run':
			case 'claim': {
				const claiming = decision.type === 'claim';
				to.runs.push({
					key: send.key, attempt: send.attempt, claiming, joined: [send],
				});
				break;
			}

			case 'join': {
				to.runs.find(run => run.key === send.key)!.joined.push(send);
				break;
			}

			case 'elsewhere': {
				this.#forward(send, decision.owner);
				break;
			}

			case 'end': {
				tell(send, decision.outcome, this.#step);
				break;
			}

			case 'sealed': {
				break;
			}
		}
	}

	#forward(send: Send, owner: IncarnationId): void {
		const to = this.#processes.find(process => process.id === owner)!;
		this.#network.push({send, to, forwarded: true});
	}

	#read(process: Process, limit: number): void {
		process.fold.fold(this.#log.recordsAfter(process.fold.throughOffset, limit), this.#log.earliestOffset);
		for (const run of process.runs.filter(each => each.claiming)) {
			const resolution = process.table.resolve(this.#keys[run.key]!);
			switch (resolution.type) {
				case 'run': {
					run.claiming = false;
					break;
				}

				case 'end': {
					this.#drop(process, run);
					tellAll(run, resolution.outcome, this.#step);
					break;
				}

				case 'elsewhere': {
					this.#drop(process, run);
					for (const send of run.joined) {
						this.#forward(send, resolution.owner);
					}

					break;
				}

				case 'pending': {
					break;
				}
			}
		}
	}

	#giveUp(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (run?.claiming) {
			this.#drop(process, run);
			tellAll(run, process.table.giveUp(this.#keys[run.key]!), this.#step);
		}
	}

	#transmit(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (run && !run.claiming && run.sentAt === undefined) {
			run.sentAt = this.#step;
			this.sentRuns.push(run);
		}
	}

	#finish(process: Process, pick: number): void {
		const run = process.runs[pick % Math.max(1, process.runs.length)];
		if (!run || run.claiming) {
			return;
		}

		this.#drop(process, run);
		const ifSent = pick % 2 === 0 ? answered : unknown('connection-lost');
		const outcome = run.sentAt === undefined ? notRun('shed-by-upstream') : ifSent;
		process.table.end(this.#keys[run.key]!, outcome);
		tellAll(run, outcome, this.#step);
	}

	#drop(process: Process, run: Run): void {
		process.runs = process.runs.filter(each => each !== run);
	}
}
