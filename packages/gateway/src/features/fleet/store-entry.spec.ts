import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {err, ok, type Result} from 'neverthrow';
import {createMetrics} from '../../metrics/metrics.js';
import type {StoreError} from '../../ports/index.js';
import {StoreEntry, type StoreEntryOptions} from './store-entry.js';

const stepMs = 50;

/** A store that records the calls, and an instance whose clock only a spec advances. */
class EntryFixture {
	readonly calls: string[] = [];
	readonly found: string[] = [];
	readonly clock = new ManualClock();
	hasHeardOthers = false;
	rank = 100;
	isDown: boolean;
	readonly #entry: StoreEntry;

	constructor({hasSeeds, isDown}: {hasSeeds: boolean; isDown: boolean}) {
		this.isDown = isDown;
		const answer = <Value>(call: string, value: Value): Result<Value, StoreError> => {
			this.calls.push(call);
			return this.isDown ? err({type: 'unreachable', message: 'down'}) : ok(value);
		};

		this.#entry = new StoreEntry({
			context: {
				clock: this.clock, metrics: createMetrics(), settings: {instanceId: 'entry-1', host: '10.0.0.1'}, logger: {info() {/* Not checked. */}, warn() {/* Not checked. */}},
			} as unknown as StoreEntryOptions['context'],
			store: {
				instances: {
					enter: async () => answer('enter', undefined),
					list: async () => answer('list', [{host: '10.0.0.1'}, {host: '10.0.0.2'}]),
				},
			},
			hasSeeds,
			hasHeardOthers: () => this.hasHeardOthers,
			rank: () => this.rank,
			onInstancesFound: hosts => {
				this.found.push(...hosts);
			},
		});
		this.#entry.start();
	}

	async advance(durationMs: number): Promise<void> {
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			this.clock.advance(stepMs);
			mock.timers.tick(stepMs);
			for (let turn = 0; turn < 20; turn++) {
				await Promise.resolve();
			}
		}
	}

	stop(): void {
		this.#entry.stop();
	}
}

async function withFixture(hasSeeds: boolean, body: (fixture: EntryFixture) => Promise<void>, isDown = false): Promise<void> {
	mock.timers.enable({apis: ['setTimeout']});
	const fixture = new EntryFixture({hasSeeds, isDown});
	try {
		await body(fixture);
	} finally {
		fixture.stop();
		mock.timers.reset();
	}
}

describe('StoreEntry', () => {
	it('should make no call if another instance has answered', async () => {
		await withFixture(true, async fixture => {
			fixture.hasHeardOthers = true;
			await fixture.advance(10_000);
			assert.deepEqual(fixture.calls, []);
		});
	});

	it('should enter and then list the instances if there are no seeds', async () => {
		await withFixture(false, async fixture => {
			await fixture.advance(100);
			assert.deepEqual(fixture.calls, ['enter', 'list']);
			assert.deepEqual(fixture.found, ['10.0.0.2']);
			await fixture.advance(10_000);
			assert.equal(fixture.calls.length, 2);
		});
	});

	it('should enter and then list the instances if no seed answers', async () => {
		await withFixture(true, async fixture => {
			await fixture.advance(200);
			assert.deepEqual(fixture.calls, []);
			await fixture.advance(500);
			assert.deepEqual(fixture.calls, ['enter', 'list']);
		});
	});

	it('should retry each second while the store is unreachable', async () => {
		await withFixture(false, async fixture => {
			await fixture.advance(3500);
			assert.equal(fixture.calls.length, 4);
			fixture.isDown = false;
			await fixture.advance(1000);
			assert.deepEqual(fixture.found, ['10.0.0.2']);
		}, true);
	});

	it('should enter once it is among the first in the order of all instances', async () => {
		await withFixture(true, async fixture => {
			fixture.hasHeardOthers = true;
			await fixture.advance(5000);
			fixture.rank = 7;
			await fixture.advance(1000);
			assert.deepEqual(fixture.calls, ['enter']);
		});
	});
});
