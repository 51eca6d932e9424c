import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../model/manual-clock.js';
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '../model/ids.js';
import type {KeyedChange} from './keyed-change.js';
import type {RegisteredUpstream} from './registered-upstream.js';
import {UpstreamRegistry, type RemovalConfidence} from './upstream-registry.js';

const sound: RemovalConfidence = {type: 'sound'};
const registryCount = 3;

type Write = {readonly kind: 'join' | 'drain' | 'leave'; readonly pick: number};

type Step =
	| {readonly type: 'write'; readonly writes: readonly Write[]}
	/** A registry reads the newest records in two pages, and upstreams write between them. */
	| {readonly type: 'read-newest'; readonly reader: number; readonly between: readonly Write[]}
	| {readonly type: 'read-on'; readonly reader: number}
	/** One registry hands over its whole state to another, or only what has changed since. */
	| {readonly type: 'hand-over'; readonly from: number; readonly to: number; readonly isWhole: boolean};

/** Simulates the log of the store to which upstreams write: each one joins once, may drain, and leaves. */
class UpstreamLog {
	readonly records: Array<KeyedChange<RegisteredUpstream>> = [];
	readonly #present: RegisteredUpstream[] = [];
	#joined = 0;

	write({kind, pick}: Write): void {
		const index = pick % Math.max(1, this.#present.length);
		const picked = this.#present[index];
		if (kind === 'join' || picked === undefined) {
			this.#joined += 1;
			// The keys are not in the order of time, so that a page may contain newer records than the next one.
			const id = `u${(this.#joined * 7) % 10}-${this.#joined}` as UpstreamId;
			this.#put(this.#present.length, newUpstream(id));
		} else if (kind === 'drain') {
			this.#put(index, {...picked, draining: true, sequence: picked.sequence + 1});
		} else {
			this.#present.splice(index, 1);
			this.records.push({key: picked.id, offset: this.records.length, value: undefined});
		}
	}

	/** The newest record of each present key, in the order of the keys. */
	newest(): ReadonlyArray<KeyedChange<RegisteredUpstream>> {
		const byKey = new Map(this.records.map(record => [record.key, record]));
		return [...byKey.values()].filter(({value}) => value !== undefined).toSorted((left, right) => left.key.localeCompare(right.key));
	}

	get states(): readonly string[] {
		return this.#present.map(upstream => stateOf(upstream)).toSorted();
	}

	#put(index: number, upstream: RegisteredUpstream): void {
		this.#present[index] = upstream;
		this.records.push({key: upstream.id, offset: this.records.length, value: upstream});
	}
}

function newUpstream(id: UpstreamId): RegisteredUpstream {
	return {
		id,
		service: 'ledger' as ServiceId,
		host: '10.0.0.1',
		port: 8080,
		availabilityZone: 'nasr' as AvailabilityZoneId,
		slots: 4,
		draining: false,
		warmupMs: 0,
		startedAtMs: 0,
		sequence: 1,
	};
}

function stateOf({id, draining}: RegisteredUpstream): string {
	return `${id} ${draining}`;
}

function readNewest(registry: UpstreamRegistry, log: UpstreamLog, between: readonly Write[]): void {
	const first = log.newest();
	const endOffset = log.records.length;
	const page = first.slice(0, Math.ceil(first.length / 2));
	for (const write of between) {
		log.write(write);
	}

	const lastKey = page.at(-1)?.key ?? '';
	registry.applySnapshot({endOffset, records: [...page, ...log.newest().filter(({key}) => key > lastKey)]}, sound);
}

function readOn(registry: UpstreamRegistry, log: UpstreamLog): void {
	if (!registry.hasSnapshot) {
		readNewest(registry, log, []);
		return;
	}

	const fromOffset = registry.endOffset;
	registry.applyChanges({fromOffset, endOffset: log.records.length, records: log.records.slice(fromOffset)}, sound);
}

function handOver(from: UpstreamRegistry, to: UpstreamRegistry, isWhole: boolean): void {
	if (!from.hasSnapshot || from.endOffset < to.endOffset) {
		return;
	}

	const changes = isWhole ? undefined : from.changesSince(to.endOffset);
	if (changes === undefined) {
		to.applySnapshot(from.toSnapshot(), sound);
	} else {
		to.applyChanges(changes, sound);
	}
}

function runStep(step: Step, log: UpstreamLog, registries: readonly UpstreamRegistry[]): void {
	switch (step.type) {
		case 'write': {
			for (const write of step.writes) {
				log.write(write);
			}

			return;
		}

		case 'read-newest': {
			readNewest(registries[step.reader]!, log, step.between);
			return;
		}

		case 'read-on': {
			readOn(registries[step.reader]!, log);
			return;
		}

		case 'hand-over': {
			handOver(registries[step.from]!, registries[step.to]!, step.isWhole);
		}
	}
}

const write = fc.record({kind: fc.constantFrom('join', 'join', 'drain', 'leave'), pick: fc.nat(20)}) as fc.Arbitrary<Write>;
const registryIndex = fc.nat(registryCount - 1);
const steps = fc.array(fc.oneof(
	fc.record({type: fc.constant('write'), writes: fc.array(write, {maxLength: 5})}),
	fc.record({type: fc.constant('read-newest'), reader: registryIndex, between: fc.array(write, {maxLength: 4})}),
	fc.record({type: fc.constant('read-on'), reader: registryIndex}),
	fc.record({
		type: fc.constant('hand-over'), from: registryIndex, to: registryIndex, isWhole: fc.boolean(),
	}),
), {maxLength: 25});

describe('registries that read one log and hand over state to each other', () => {
	it('should know the same upstreams once all have read to the end of the log', () => {
		fc.assert(fc.property(steps, scenario => {
			const log = new UpstreamLog();
			const registries = Array.from({length: registryCount}, () => new UpstreamRegistry(new ManualClock()));
			for (const step of scenario) {
				runStep(step, log, registries);
			}

			for (const registry of registries) {
				readOn(registry, log);
				assert.deepEqual(registry.entries().map(({upstream}) => stateOf(upstream)).toSorted(), log.states);
			}
		}), {seed: 11, numRuns: 2000});
	});

	it('should keep an upstream that a page contained beyond its end offset, whatever others hand over', () => {
		const log = new UpstreamLog();
		const [reader, other] = [new UpstreamRegistry(new ManualClock()), new UpstreamRegistry(new ManualClock())];
		readNewest(other, log, []);
		readNewest(reader, log, [{kind: 'join', pick: 0}]);
		handOver(other, reader, true);
		readOn(reader, log);
		assert.deepEqual(reader.entries().map(({upstream}) => stateOf(upstream)).toSorted(), log.states);
	});
});
