/** Instances that follow one store and hand state to each other, in simulated time; what they were made to do by their beliefs. */
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
/** Microtask turns in which all that is ready has run. */
const turns = 40;
/** Operators and upstreams write again within this time what a restored store has lost. */
const rewrittenAfterMs = 1000;
/** Upstreams that are registered from the start. */
export const upstreams = ['a', 'b', 'c'];

/** What an instance was made to do by its beliefs. */
class Beliefs {
	readonly emptied = new Set<string>();
	readonly serving = new Set<string>();
	readonly versions: number[] = [];
	/** Upstreams that drained, and were given work again. */
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
				this.#changed(event);
			},
		};
	}

	#changed({type, upstream: {id, draining}}: RegistryEvent): void {
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
	readonly beliefs: Beliefs;
	readonly state: StateTask;
	readonly start: number;
};

/** What operators and upstreams have written, and write again after a restore. */
class Writers {
	version = 1;
	readonly ordered = new Map<string, boolean>();
	readonly states = new Map<string, 'ready' | 'draining' | 'gone'>();
	#sequence = 1;

	constructor(readonly store: SimulatedStore) {
		for (const id of upstreams) {
			this.states.set(id, 'ready');
		}
	}

	writeAll(): void {
		this.#sequence += 1;
		this.store.configure(this.version);
		for (const [zone, isOrdered] of this.ordered) {
			this.store.evacuate(zone, isOrdered);
		}

		for (const [id, state] of this.states) {
			if (state === 'gone') {
				this.store.remove(id);
			} else {
				this.store.register(id, this.#sequence, state === 'draining');
			}
		}
	}
}

export class SimulatedStates {
	readonly clock = new ManualClock();
	readonly store = new SimulatedStore();
	readonly writers = new Writers(this.store);
	readonly cut = new Set<number>();
	readonly instances: SimulatedInstance[];
	#nextBeatMs = 0;
	#rewriteAtMs = Number.POSITIVE_INFINITY;
	readonly #random = createRandomSource(1);

	constructor(size: number) {
		this.writers.writeAll();
		this.instances = Array.from({length: size}, (_, index) => this.#start(index, 0));
	}

	restart(index: number): void {
		const instance = this.instances[index]!;
		instance.state.stop();
		this.instances[index] = this.#start(index, instance.start + 1);
	}

	restore(lostRecords: number): void {
		this.store.restore(lostRecords);
		this.#rewriteAtMs = this.clock.monotonicMs() + rewrittenAfterMs;
	}

	async pass(durationMs: number): Promise<void> {
		for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
			this.clock.advance(stepMs);
			mock.timers.tick(stepMs);
			await settled();
			if (this.clock.monotonicMs() >= this.#rewriteAtMs) {
				this.#rewriteAtMs = Number.POSITIVE_INFINITY;
				this.writers.writeAll();
			}

			if (this.clock.monotonicMs() >= this.#nextBeatMs) {
				this.#nextBeatMs = this.clock.monotonicMs() + heartbeatMs;
				this.#beat();
			}
		}
	}

	stop(): void {
		for (const {state} of this.instances) {
			state.stop();
		}
	}

	#start(index: number, start: number): SimulatedInstance {
		const beliefs = new Beliefs();
		const state = new StateTask({
			context: {
				clock: this.clock,
				random: createRandomSource((index * 100) + start),
				logger: {info: () => undefined, warn: () => undefined},
				metrics: createMetrics(),
				settings: {isFirstStart: start === 0},
			},
			store: this.store.reachedBy(() => !this.cut.has(index)),
			place: () => this.#placeOf(index),
			...beliefs.handlers(),
			onUpdate: () => {
				this.#sendToAll(index);
			},
			onRefreshed: () => undefined,
			onRestored: () => undefined,
		} as unknown as StateTaskOptions);
		void state.start();
		return {
			index, beliefs, state, start,
		};
	}

	/** The first that reaches the store follows it for all; two more read where that one is silent. */
	#placeOf(index: number) {
		const reaching = this.instances?.map(instance => instance.index).filter(other => !this.cut.has(other)) ?? [];
		return {
			isFollower: reaching[0] === index, isDeputy: reaching[1] === index, readersAheadInZone: Math.max(0, reaching.indexOf(index)),
			isKnownToOthers: this.instances?.some(({state}) => state.isKnown) ?? false, hasSeeds: true,
		};
	}

	#beat(): void {
		for (const {index} of this.instances) {
			this.#sendToAll(index);
		}
	}

	/** Heartbeats go to all others in a small fleet; in a large one only the follower sends to all, the rest to some. */
	#sendToAll(from: number): void {
		const size = this.instances?.length ?? 0;
		const heard = size <= 13 || this.#placeOf(from).isFollower ? [...this.instances ?? []] : Array.from({length: 8}, () => this.instances[this.#random.nextInteger(size)]!);
		for (const {state} of heard.filter(({index}) => index !== from)) {
			const teller = this.instances[from]!.state;
			const member = memberOf(from, teller);
			const query = state.compare(member, this.#placeOf(from).isFollower);
			if (query !== undefined) {
				const handedOver = teller.share(query);
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

async function settled(): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await Promise.resolve();
	}
}
