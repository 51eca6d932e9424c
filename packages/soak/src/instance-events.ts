/** Plays the events that signal instances, and records what follows. */
import {setTimeout as delay} from 'node:timers/promises';
import {waitFor} from '@cairnbank/testing/harness';
import type {
	CallRecord, Disturbance, MemoryRecord, StopRecord,
} from './history.js';
import {runCrowd} from './misbehaving-crowd.js';
import type {FurtherSignal, SoakEvent} from './schedule.js';
import type {SoakSite} from './soak-site.js';
import {runStopCaller} from './stop-callers.js';

/** Longer than the grace period of an instance, because stopping takes longer on a busy machine. */
const stopWaitMs = 20_000;
/** Time after the end of a planned stop at which the platform starts the instance again. */
const restartDelayMs = 500;
/** Maximum number of lines outside the log that are recorded when an instance ends. The last ones are recorded. */
const maximumErrorLines = 20;
const types = ['stop', 'stop-in-use', 'planned-stop', 'kill', 'herd', 'pause', 'reload', 'crowd'] as const;
const typeSet: ReadonlySet<string> = new Set(types);

export type InstanceEvent = Extract<SoakEvent, {readonly type: typeof types[number]}>;

type EndOptions = {
	readonly furtherSignals?: readonly FurtherSignal[];
	/** Whether the platform kills the instance after its grace period and waits before it starts it again. */
	readonly isPlanned?: boolean;
};

export function isInstanceEvent(event: SoakEvent): event is InstanceEvent {
	return typeSet.has(event.type);
}

export class InstanceEvents {
	readonly disturbances: Disturbance[] = [];
	readonly stops: StopRecord[] = [];
	/** Requests of callers that keep using a stopping instance. */
	readonly stopCalls: CallRecord[] = [];
	readonly memory: MemoryRecord[] = [];
	readonly #site: SoakSite;
	#stopsInUse = 0;
	#crowds = 0;
	/** Instances that are stopping, starting or paused. Signals of other events to them are skipped. */
	readonly #unavailableInstances = new Set<number>();

	constructor(site: SoakSite) {
		this.#site = site;
	}

	/** Resolves once the event is over. */
	async inject(event: InstanceEvent): Promise<void> {
		switch (event.type) {
			case 'stop': {
				return this.#reserve(event.instance, async () => this.#endAndRestart(event.instance, 'SIGTERM'));
			}

			case 'stop-in-use': {
				return this.#stopInUse(event);
			}

			case 'planned-stop': {
				await Promise.all(event.instances.map(async instance =>
					this.#reserve(instance, async () => this.#endAndRestart(instance, 'SIGTERM', {furtherSignals: event.furtherSignals, isPlanned: true}))));
				return;
			}

			case 'kill': {
				return this.#reserve(event.instance, async () => this.#endAndRestart(event.instance, 'SIGKILL'));
			}

			case 'herd': {
				await Promise.all(event.instances.map(async instance => this.inject({type: 'kill', instance})));
				return;
			}

			case 'pause': {
				return this.#reserve(event.instance, async () => this.#pause(event.instance, event.forMs));
			}

			case 'reload': {
				if (!this.#unavailableInstances.has(event.instance)) {
					this.#site.entries[event.instance]!.process.kill('SIGHUP');
				}

				return;
			}

			case 'crowd': {
				this.#crowds += 1;
				const record = await runCrowd(this.#site.entries[event.instance]!, event, `crowd-${this.#crowds}`);
				this.memory.push(...(record === undefined ? [] : [record]));
			}
		}
	}

	/** Skips an event of an instance that another one has made unavailable. */
	async #reserve(index: number, during: () => Promise<void>): Promise<void> {
		if (this.#unavailableInstances.has(index)) {
			return;
		}

		this.#unavailableInstances.add(index);
		await during();
		this.#unavailableInstances.delete(index);
	}

	/** Stops an instance while callers keep using connections to it. */
	async #stopInUse({instance, callers, signalMs, furtherSignals}: Extract<SoakEvent, {readonly type: 'stop-in-use'}>): Promise<void> {
		let calls: Array<Promise<CallRecord[]>> = [];
		await this.#reserve(instance, async () => {
			const {process: stopping, settings: {listen}} = this.#site.entries[instance]!;
			const name = `s${this.#stopsInUse}`;
			this.#stopsInUse += 1;
			let isSignalled = false;
			calls = callers.map(async (plan, index) => runStopCaller({
				name: `${name}-${index}`, address: listen.callers, plan, isSignalled: () => isSignalled, hasEnded: () => stopping.exit !== undefined,
			}));
			await delay(signalMs);
			isSignalled = true;
			await this.#endAndRestart(instance, 'SIGTERM', {furtherSignals});
		});
		const records = await Promise.all(calls);
		this.stopCalls.push(...records.flat());
	}

	/** Ends an instance and starts it again at the same addresses. */
	async #endAndRestart(index: number, signal: 'SIGTERM' | 'SIGKILL', {furtherSignals = [], isPlanned = false}: EndOptions = {}): Promise<void> {
		const {process: ending, settings: {host, listen, bounds: {graceSeconds}}} = this.#site.entries[index]!;
		const wasKilled = signal === 'SIGKILL';
		const graceMs = graceSeconds * 1000;
		const end = async () => {
			const signalledAtMs = performance.now();
			ending.kill(signal);
			for (const further of furtherSignals) {
				setTimeout(() => {
					ending.kill(further.signal);
				}, further.afterMs);
			}

			const killTimer = isPlanned
				? setTimeout(() => {
					ending.kill('SIGKILL');
				}, graceMs)
				: undefined;
			await waitFor(`end of ${host}`, () => ending.exit !== undefined, stopWaitMs);
			clearTimeout(killTimer);
			this.#site.callerLinks.processEnded(listen.callers);
			this.stops.push({
				instance: host, exitCode: ending.exit?.code, wasKilled, graceMs, errors: ending.otherLines.slice(-maximumErrorLines), signalledAtMs, endedAtMs: performance.now(),
			});
		};

		await this.#recordDisturbance({kind: wasKilled ? 'instance' : 'restart', instance: host}, async () => {
			await end();
			await delay(isPlanned ? restartDelayMs : 0);
			await this.#site.restart(index);
		});
	}

	async #pause(index: number, forMs: number): Promise<void> {
		const {process: paused, settings: {host}} = this.#site.entries[index]!;
		await this.#recordDisturbance({kind: 'instance', instance: host}, async () => {
			paused.kill('SIGSTOP');
			await delay(forMs);
			paused.kill('SIGCONT');
		});
	}

	async #recordDisturbance(disturbance: Pick<Disturbance, 'kind' | 'instance'>, during: () => Promise<unknown>): Promise<void> {
		const fromMs = performance.now();
		await during();
		this.disturbances.push({...disturbance, fromMs, untilMs: performance.now()});
	}
}
