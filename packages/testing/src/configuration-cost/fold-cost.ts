/** Times the pure parts of a change of configuration and sizes its records. */
import {Buffer} from 'node:buffer';
import {
	applyRecord, canonicalJson, createSnapshot, hashInForce, initialConfiguration, openSnapshot, type ConfigurationState,
} from '@cairnbank/core/configuration';
import {recordIdSchema} from '@cairnbank/core';
import {sampleInventory} from './sample-inventory.js';
import {median} from './statistics.js';

const repeats = 21;
const snapshotId = recordIdSchema.parse('01920000-0000-7000-8000-000000000000');

export type FoldCost = {
	readonly upstreams: number;
	readonly inventoryBytes: number;
	readonly drainBytes: number;
	readonly snapshotBytes: number;
	readonly foldInventoryMs: number;
	readonly foldDrainMs: number;
	readonly hashMs: number;
	readonly createSnapshotMs: number;
	readonly openSnapshotMs: number;
};

function record(state: ConfigurationState, change: unknown) {
	const offset = state.throughOffset + 1;
	const value = {
		type: 'change', id: `01920000-0000-7000-8000-${String(offset).padStart(12, '0')}`, baseOffset: state.throughOffset, author: 'duty-operator', change,
	};
	return {offset, value};
}

function medianMs(work: (repeat: number) => unknown): number {
	const samples = Array.from({length: repeats}, (_, repeat) => {
		const startMs = performance.now();
		work(repeat);
		return performance.now() - startMs;
	});
	return median(samples);
}

function bytesOf(value: unknown): number {
	return Buffer.byteLength(JSON.stringify(value));
}

export function measureFold(upstreams: number, services: number): FoldCost {
	const versions = [sampleInventory(upstreams, services, 0), sampleInventory(upstreams, services, 1)];
	let {state} = applyRecord(initialConfiguration, record(initialConfiguration, versions[0]));
	const foldInventoryMs = medianMs(repeat => {
		state = applyRecord(state, record(state, versions[(repeat + 1) % 2])).state;
	});
	const drain = (draining: boolean) => ({kind: 'drain', upstream: 'service-0-upstream-0', draining});
	const foldDrainMs = medianMs(repeat => {
		state = applyRecord(state, record(state, drain(repeat % 2 === 0))).state;
	});
	const snapshot = createSnapshot(state, snapshotId);
	return {
		upstreams,
		inventoryBytes: bytesOf(record(state, versions[0]).value),
		drainBytes: bytesOf(record(state, drain(true)).value),
		snapshotBytes: Buffer.byteLength(canonicalJson(snapshot)),
		foldInventoryMs,
		foldDrainMs,
		hashMs: medianMs(() => hashInForce(state)),
		createSnapshotMs: medianMs(() => createSnapshot(state, snapshotId)),
		openSnapshotMs: medianMs(() => openSnapshot(snapshot)),
	};
}
