import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import type {AvailabilityZoneId, IncarnationId} from '@cairnbank/core';
import type {FleetMember} from '@cairnbank/core/fleet';
import {createRandomSource} from '@cairnbank/core/random';
import {unknownEpoch} from '@cairnbank/core/registry';
import {ok} from 'neverthrow';
import {StateAsker, type StateAskerOptions} from './state-asker.js';

const silentLogger = {warn() {/* Nothing is logged in these specs. */}};

function member(host: string, availabilityZone: string): FleetMember {
	return {
		incarnation: host as IncarnationId,
		host,
		availabilityZone: availabilityZone as AvailabilityZoneId,
		ready: true,
		leaving: false,
		revision: 0,
		membersDigest: 0,
		fleetSize: {instances: 0, ageMs: 0},
		configurationVersion: 5,
		storeEpoch: unknownEpoch, evacuations: {revision: 0, zones: [], cancelled: []},
		registryOffset: 0,
		registryDigest: 0,
		stateAgeMs: 0,
		reachesStore: true,
	};
}

/** An instance in zone `nasr` that lacks a configuration until it has adopted one. */
function setUp({isFirst, version = 4, busy = {}}: {isFirst: boolean; version?: number; busy?: Readonly<Record<string, readonly string[]>>}) {
	const asked: string[] = [];
	const own = {version};
	const asker = new StateAsker({
		context: {logger: silentLogger, random: createRandomSource(1), settings: {host: '10.0.0.1', availabilityZone: 'nasr'}} as unknown as StateAskerOptions['context'],
		compare: ({configurationVersion}) => configurationVersion > own.version
			? {configurationVersion: own.version, wantsRegistry: false, epoch: unknownEpoch}
			: undefined,
		isFirstOfZone: () => isFirst,
		async fetch(host) {
			asked.push(host);
			const hosts = busy[host];
			return ok(hosts === undefined ? {type: 'state', state: {epoch: unknownEpoch}} : {type: 'busy', hosts});
		},
		adopt() {
			own.version = 5;
		},
	});
	return {asked, own, asker};
}

async function settled(): Promise<void> {
	for (let turn = 0; turn < 30; turn++) {
		await Promise.resolve();
	}
}

async function inManualTime(body: () => Promise<void>): Promise<void> {
	mock.timers.enable({apis: ['setTimeout']});
	try {
		await body();
	} finally {
		mock.timers.reset();
	}
}

describe('StateAsker', () => {
	it('should ask an instance of its own availability zone at once', () => {
		const {asked, asker} = setUp({isFirst: false});
		asker.heard(member('10.0.0.2', 'nasr'));
		assert.deepEqual(asked, ['10.0.0.2']);
	});

	it('should ask in another availability zone at once only where it is first of its own', () => {
		const first = setUp({isFirst: true});
		first.asker.heard(member('10.1.0.2', 'giza'));
		assert.deepEqual(first.asked, ['10.1.0.2']);

		const other = setUp({isFirst: false});
		other.asker.heard(member('10.1.0.2', 'giza'));
		assert.deepEqual(other.asked, []);
		other.asker.stop();
	});

	it('should ask nobody in another zone for what its own zone had in the meantime', async () => {
		await inManualTime(async () => {
			const {asked, asker} = setUp({isFirst: false});
			asker.heard(member('10.1.0.2', 'giza'));
			asker.heard(member('10.0.0.2', 'nasr'));
			await settled();
			mock.timers.tick(1000);
			assert.deepEqual(asked, ['10.0.0.2']);
		});
	});

	it('should ask in another availability zone where its own does not have it in time', async () => {
		await inManualTime(async () => {
			const {asked, asker} = setUp({isFirst: false});
			asker.heard(member('10.1.0.2', 'giza'));
			mock.timers.tick(1000);
			assert.deepEqual(asked, ['10.1.0.2']);
		});
	});

	it('should wait for nobody while it knows nothing', () => {
		const {asked, asker} = setUp({isFirst: false, version: 0});
		asker.heard(member('10.1.0.2', 'giza'));
		assert.deepEqual(asked, ['10.1.0.2']);
	});

	it('should ask where a busy instance sends it, but not for ever', async () => {
		const hosts = ['10.0.0.2', '10.0.0.3'];
		const {asked, asker, own} = setUp({isFirst: false, busy: {'10.0.0.2': ['10.0.0.3']}});
		asker.heard(member('10.0.0.2', 'nasr'));
		await settled();
		assert.deepEqual(asked, hosts);
		assert.equal(own.version, 5);

		const circle = setUp({isFirst: false, busy: {'10.0.0.2': ['10.0.0.3'], '10.0.0.3': ['10.0.0.2']}});
		circle.asker.heard(member('10.0.0.2', 'nasr'));
		await settled();
		assert.equal(circle.asked.length, 4);
	});

	it('should ask few at a time, whoever knows more', () => {
		const {asked, asker} = setUp({isFirst: true});
		for (const host of ['10.1.0.1', '10.1.0.2', '10.1.0.3', '10.1.0.4']) {
			asker.heard(member(host, 'giza'));
		}

		assert.equal(asked.length, 2);
	});
});
