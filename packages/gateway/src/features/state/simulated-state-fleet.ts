/** Simulates instances that read one store and hand over state to each other, in simulated time, and records what their state tasks report. */
import {mock} from 'node:test';
import {ManualClock, type IncarnationId} from '@cairnbank/core';
import type {FleetMember} from '@cairnbank/core/fleet';
import {createRandomSource} from '@cairnbank/core/random';
import type {RegistryEvent} from '@cairnbank/core/registry';
import {createMetrics} from '../../metrics/metrics.js';
import {SimulatedStore} from './simulated-store.js';
import {StateTask, type StateTaskOptions} from './state-task.js';

const stepMs = 50;
const heartbeatMs = 300;
/** Number of microtask turns after which everything that is ready has run. */
const microtaskTurns = 40;
/** Time after a restore of the store until operators and upstreams write again what it has lost. */
const rewriteDelayMs = 1000;
/** Ids of the upstreams that are registered from the start. */
export const upstreams = ['a', 'b', 'c'];

/** Result of the events that the state task of one instance has emitted since its start. */
class ObservedState {
	/** Evacuated availability zones. */
	readonly emptied = new Set<string>();
	/** Upstreams that may get requests. */
	readonly serving = new Set<string>();
	/** Versions of the configurations that were in force, in the order of their events. */
	readonly versions: number[] = [];
	/** Upstreams that could get requests again after they had been draining. */
	readonly revived: string[] = [];
	readonly #drained = new Set<string>();

	handlers(): Pick<StateTaskOptions, 'onConfiguration' | 'onEvacuation' | 'onUpstream'> {
		return {
			onConfiguration: ({configuration}) => {
				this.versions.push(configuration.version);
			},
			onEvacuation: ({type, zone}) => {
				if (type === 'emptied') {
					this.emptied.add(zone);
				} else {
					this.emptied.delete(zone);
				}
			},
			onUpstream: event => {
				this.#applyEvent(event);
			},
		};
	}

	#applyEvent({type, upstream: {id, draining}}: RegistryEvent): void {
		if (type === 'gone') {
			this.serving.delete(id);
		} else if (draining) {
			this.#drained.add(id);
			this.serving.delete(id);
		} else {
			this.revived.push(...(this.#drained.has(id) ? [id] : []));
			this.serving.add(id);
		}
	}
}

export type SimulatedInstance = {
	readonly index: number;
	readonly observed: ObservedState;
	readonly state: StateTask;
	/** Number of earlier starts of the instance. */
	readonly startNumber: number;
};

/** Holds what operators and upstreams have written, and writes it again after a restore of the store. */
class StoreWriters {
	version = 1;
	readonly evacuationOrders = new Map<string, boolean>();
	readonly upstreamStates = new Map<string, 'ready' | 'draining' | 'gone'>();
	#sequence = 1;

	constructor(readonly store: SimulatedStore) {
		for (const id of upstreams) {
			this.upstreamStates.set(id, 'ready');
		}
	}

	writeAll(): void {
		this.#sequence += 1;
		this.store.configure(this.version);
		for (const [zone, isOrdered] of this.evacuationOrders) {
			this.store.evacuate(zone, isOrdered);
		}

		for (const [id, state] of this.upstreamStates) {
			if (state === 'gone') {
				this.store.remove(id);
			} else {
				this.store.register(id, this.#sequence, state === 'draining');
			}
		}
	}
}

export class SimulatedStateFleet {
	readonly clock = new ManualClock();
	readonly store = new SimulatedStore();
	readonly writers = new StoreWriters(this.store);
	/** Indexes of the instances that can't reach the store. */
	readonly disconnected = new Set<number>();
	/** Indexes of the instances that can't reach other instances. */
	readonly isolated = new Set<number>();
	readonly instances: SimulatedInstance[];
	#nextHeartbeatMs = 0;
	#rewriteAtMs = Number.POSITIVE_INFINITY;
	readonly #random = createRandomSource(1);

	constructor(size: number) {
		this.writers.writeAll();
		this.instances = Array.from({length: size}, (_, index) => this.#start(index, 0));
	}

	/** Stops an instance and starts it again without its state. */
	restart(index: number): void {
		const instance = this.instances[index]!;
		instance.state.stop();
		this.instances[index] = this.#start(index, instance.startNumber + 1);
	}

	/** Restores the store from a copy that lacks the last records of each topic. */
	restore(lostRecords: number): void {
		this.store.restore(lostRecords);
		this.#rewriteAtMs = this.clock.monotonicMs() + rewriteDelayMs;
	}

	/** Advances the simulated time. */
	async advance(durationMs: number): Promise<void> {
		for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
			this.clock.advance(stepMs);
			mock.timers.tick(stepMs);
			await runMicrotasks();
			if (this.clock.monotonicMs() >= this.#rewriteAtMs) {
				this.#rewriteAtMs = Number.POSITIVE_INFINITY;
				this.writers.writeAll();
			}

			if (this.clock.monotonicMs() >= this.#nextHeartbeatMs) {
				this.#nextHeartbeatMs = this.clock.monotonicMs() + heartbeatMs;
				this.#sendHeartbeats();
			}
		}
	}

	stop(): void {
		for (const {state} of this.instances) {
			state.stop();
		}
	}

	#start(index: number, startNumber: number): SimulatedInstance {
		const observed = new ObservedState();
		const state = new StateTask({
			context: {
				clock: this.clock,
				random: createRandomSource((index * 100) + startNumber),
				logger: {info: () => undefined, warn: () => undefined},
				metrics: createMetrics(),
				settings: {isFirstStart: startNumber === 0},
			},
			store: this.store.connect(() => !this.disconnected.has(index)),
			readerRole: () => this.#roleOf(index),
			...observed.handlers(),
			onUpdate: () => {
				this.#sendToAll(index);
			},
			onRefreshed: () => undefined,
			onRestored: () => undefined,
		} as unknown as StateTaskOptions);
		void state.start();
		return {
			index, observed, state, startNumber,
		};
	}

	/** The first instance that reaches the store is the follower, and the second one its standby. */
	#roleOf(index: number) {
		const connected = this.instances?.map(instance => instance.index).filter(other => !this.disconnected.has(other)) ?? [];
		return {
			isFollower: connected[0] === index, isStandby: connected[1] === index, readersAheadInZone: Math.max(0, connected.indexOf(index)),
			isKnownToOthers: this.instances?.some(({state}) => state.canServe) ?? false, hasSeeds: true,
		};
	}

	#sendHeartbeats(): void {
		for (const {index} of this.instances) {
			this.#sendToAll(index);
		}
	}

	/** Sends a heartbeat to all other instances in a small fleet. In a large fleet only the follower sends to all, and the others send to some. */
	#sendToAll(from: number): void {
		const size = this.instances?.length ?? 0;
		const receivers = size <= 13 || this.#roleOf(from).isFollower ? [...this.instances ?? []] : Array.from({length: 8}, () => this.instances[this.#random.nextInteger(size)]!);
		for (const {state} of receivers.filter(({index}) => index !== from && !this.isolated.has(from) && !this.isolated.has(index))) {
			const sender = this.instances[from]!.state;
			const member = memberOf(from, sender);
			const query = state.compare(member, this.#roleOf(from).isFollower);
			if (query !== undefined) {
				const handedOver = sender.answerQuery(query);
				queueMicrotask(() => {
					state.adopt(handedOver);
				});
			}
		}
	}
}

function memberOf(index: number, state: StateTask): FleetMember {
	const member: Partial<FleetMember> = {...state.describe(), incarnation: `${index}` as IncarnationId, host: `${index}`};
	return member as FleetMember;
}

async function runMicrotasks(): Promise<void> {
	for (let turn = 0; turn < microtaskTurns; turn++) {
		await Promise.resolve();
	}
}
