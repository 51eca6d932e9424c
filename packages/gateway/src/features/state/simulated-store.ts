/** Simulates the store in simulated time, for specs: two keyed topics, restores from older copies, and instances that can't reach it. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '@cairnbank/core';
import type {KeyedChange, RegisteredUpstream, StoreEpoch} from '@cairnbank/core/registry';
import {err, ok, type Result} from 'neverthrow';
import type {
	KeyedTopic, NewestRecords, OperatorRecord, RecordsSince, StateStore, StoreError,
} from '../../ports/index.js';

const unreachableError: StoreError = {type: 'unreachable', message: 'cut off'};
const answerTimeoutMs = 600;

type Topic = 'operators' | 'upstreams';
type WrittenRecord = {readonly key: string; readonly value: unknown};

export class SimulatedStore {
	readonly #records: Readonly<Record<Topic, WrittenRecord[]>> = {operators: [], upstreams: []};
	/** Ends the waits of the calls that the store holds. */
	readonly #waiting = new Set<() => void>();
	#epoch = 1;

	/** Restores the store from a copy that lacks the last records of each topic. */
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

	/** Creates the connection of one instance. Its calls fail while `canReach` returns false. */
	connect(canReach: () => boolean): StateStore {
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
					await this.#waitForWrite(answerTimeoutMs);
					return err(unreachableError);
				}

				const newest = new Map(recordsFrom(0).map(record => [record.key, record]));
				const records = [...newest.values()].filter(({value}) => isPresent(value));
				return ok({epoch: this.#epoch as StoreEpoch, snapshot: {endOffset: this.#records[name].length, records}});
			},
			readFrom: async (offset: number, waitMs: number): Promise<Result<RecordsSince<Value>, StoreError>> => {
				if (canReach() && this.#records[name].length === offset) {
					await this.#waitForWrite(waitMs);
				}

				if (!canReach()) {
					await this.#waitForWrite(answerTimeoutMs);
					return err(unreachableError);
				}

				const epoch = this.#epoch as StoreEpoch;
				const endOffset = this.#records[name].length;
				return offset > endOffset
					? ok({type: 'expired', epoch})
					: ok({type: 'changes', epoch, changes: {fromOffset: offset, endOffset, records: recordsFrom(offset)}});
			},
		};
	}

	/** Waits until something is written or the store is restored, at most for this time. */
	async #waitForWrite(durationMs: number): Promise<void> {
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

/** Whether a record is among the newest ones; those that cancel an evacuation or remove a key are not. */
function isPresent(value: unknown): boolean {
	const isCancelled = (value as OperatorRecord | undefined)?.type === 'evacuation' && !(value as {isOrdered: boolean}).isOrdered;
	return value !== undefined && !isCancelled;
}
