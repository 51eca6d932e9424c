import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {err, ok, type Result} from 'neverthrow';
import {createMetrics} from '../../metrics/metrics.js';
import type {StoreError} from '../../ports/index.js';
import {StoreEntry, type StoreEntryOptions} from './store-entry.js';

const stepMs = 50;

/** A store whose calls are counted, and an instance whose time passes only as a spec says. */
class EntryWorld {
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
				clock: this.clock, metrics: createMetrics(), settings: {instanceId: 'entry-1', host: '10.0.0.1'}, logger: {info() {/* Not looked at. */}, warn() {/* Not looked at. */}},
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
			onOthers: hosts => {
				this.found.push(...hosts);
			},
		});
		this.#entry.start();
	}

	async pass(durationMs: number): Promise<void> {
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

async function inWorld(hasSeeds: boolean, body: (world: EntryWorld) => Promise<void>, isDown = false): Promise<void> {
	mock.timers.enable({apis: ['setTimeout']});
	const world = new EntryWorld({hasSeeds, isDown});
	try {
		await body(world);
	} finally {
		world.stop();
		mock.timers.reset();
	}
}

describe('StoreEntry', () => {
	it('should make no call where another instance has answered', async () => {
		await inWorld(true, async world => {
			world.hasHeardOthers = true;
			await world.pass(10_000);
			assert.deepEqual(world.calls, []);
		});
	});

	it('should enter and then find the others where nobody was named', async () => {
		await inWorld(false, async world => {
			await world.pass(100);
			assert.deepEqual(world.calls, ['enter', 'list']);
			assert.deepEqual(world.found, ['10.0.0.2']);
			await world.pass(10_000);
			assert.equal(world.calls.length, 2);
		});
	});

	it('should find the others where none of those named answers', async () => {
		await inWorld(true, async world => {
			await world.pass(200);
			assert.deepEqual(world.calls, []);
			await world.pass(500);
			assert.deepEqual(world.calls, ['enter', 'list']);
		});
	});

	it('should try again each second while the store is away', async () => {
		await inWorld(false, async world => {
			await world.pass(3500);
			assert.equal(world.calls.length, 4);
			world.isDown = false;
			await world.pass(1000);
			assert.deepEqual(world.found, ['10.0.0.2']);
		}, true);
	});

	it('should enter once it is among the first of all', async () => {
		await inWorld(true, async world => {
			world.hasHeardOthers = true;
			await world.pass(5000);
			world.rank = 7;
			await world.pass(1000);
			assert.deepEqual(world.calls, ['enter']);
		});
	});
});
