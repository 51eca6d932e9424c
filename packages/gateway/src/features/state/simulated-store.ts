/** A store in simulated time, for specs: two keyed topics, restores from older copies, and instances that cannot reach it. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '@cairnbank/core';
import type {KeyedChange, RegisteredUpstream, StoreEpoch} from '@cairnbank/core/registry';
import {err, ok, type Result} from 'neverthrow';
import type {
	KeyedTopic, NewestRecords, OperatorRecord, RecordsSince, StateStore, StoreError,
} from '../../ports/index.js';

const unanswered: StoreError = {type: 'unreachable', message: 'cut off'};
const answerTimeoutMs = 600;

type Topic = 'operators' | 'upstreams';
type Written = {readonly key: string; readonly value: unknown};

export class SimulatedStore {
	readonly #records: Readonly<Record<Topic, Written[]>> = {operators: [], upstreams: []};
	readonly #waiting = new Set<() => void>();
	#epoch = 1;

	/** Restored from a copy that lacks the last records of each topic. */
	restore(lostRecords: number): void {
		for (const records of [this.#records.operators, this.#records.upstreams]) {
			records.splice(Math.max(0, records.length - lostRecords));
		}

		this.#epoch += 1;
		this.#wakeAll();
	}

	configure(version: number): void {
		const configuration = {
			version, services: [], hosts: [], limits: {
				maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
		};
		this.#write('operators', 'config', {type: 'configuration', configuration} satisfies OperatorRecord);
	}

	evacuate(name: string, isOrdered: boolean): void {
		const zone = name as AvailabilityZoneId;
		this.#write('operators', `evacuate/${name}`, {type: 'evacuation', zone, isOrdered} satisfies OperatorRecord);
	}

	register(name: string, sequence: number, draining: boolean): void {
		const upstream: RegisteredUpstream = {
			id: name as UpstreamId,
			startedAtMs: 0,
			sequence,
			service: 'ledger' as ServiceId,
			host: '10.0.0.1',
			port: 8080,
			availabilityZone: 'nasr' as AvailabilityZoneId,
			slots: 4,
			draining,
			warmupMs: 0,
		};
		this.#write('upstreams', name, upstream);
	}

	remove(name: string): void {
		this.#write('upstreams', name, undefined);
	}

	/** The store as one instance reaches it. */
	reachedBy(canReach: () => boolean): StateStore {
		return {
			operators: this.#topic('operators', canReach),
			upstreams: this.#topic('upstreams', canReach),
		} as unknown as StateStore;
	}

	#write(topic: Topic, key: string, value: unknown): void {
		this.#records[topic].push({key, value});
		this.#wakeAll();
	}

	#wakeAll(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#topic<Value>(name: Topic, canReach: () => boolean): KeyedTopic<Value> {
		const recordsFrom = (from: number) => this.#records[name].slice(from).map(({key, value}, index): KeyedChange<Value> => ({
			offset: from + index, key, value: value as Value | undefined,
		}));
		return {
			readNewest: async (): Promise<Result<NewestRecords<Value>, StoreError>> => {
				if (!canReach()) {
					await this.#hold(answerTimeoutMs);
					return err(unanswered);
				}

				const newest = new Map(recordsFrom(0).map(record => [record.key, record]));
				const records = [...newest.values()].filter(({value}) => isPresent(value));
				return ok({epoch: this.#epoch as StoreEpoch, snapshot: {endOffset: this.#records[name].length, records}});
			},
			readFrom: async (offset: number, waitMs: number): Promise<Result<RecordsSince<Value>, StoreError>> => {
				if (canReach() && this.#records[name].length === offset) {
					await this.#hold(waitMs);
				}

				if (!canReach()) {
					await this.#hold(answerTimeoutMs);
					return err(unanswered);
				}

				const epoch = this.#epoch as StoreEpoch;
				const endOffset = this.#records[name].length;
				return offset > endOffset
					? ok({type: 'expired', epoch})
					: ok({type: 'changes', epoch, changes: {fromOffset: offset, endOffset, records: recordsFrom(offset)}});
			},
		};
	}

	/** Until something is written, or this time is over. */
	async #hold(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.#waiting.delete(done);
				resolve();
			};

			const timer = setTimeout(done, durationMs);
			this.#waiting.add(done);
		});
	}
}

/** What was taken back or removed is not among the newest records. */
function isPresent(value: unknown): boolean {
	const isTakenBack = (value as OperatorRecord | undefined)?.type === 'evacuation' && !(value as {isOrdered: boolean}).isOrdered;
	return value !== undefined && !isTakenBack;
}
