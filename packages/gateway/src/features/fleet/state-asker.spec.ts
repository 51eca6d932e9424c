import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import type {AvailabilityZoneId, IncarnationId, InstanceId} from '@cairnbank/core';
import type {FleetMember} from '@cairnbank/core/fleet';
import {ok} from 'neverthrow';
import {StateAsker, type StateAskerOptions} from './state-asker.js';

const silentLogger = {warn() {/* Nothing is logged in these specs. */}};

function member(host: string, availabilityZone: string): FleetMember {
	return {
		instance: host as InstanceId,
		incarnation: host as IncarnationId,
		host,
		availabilityZone: availabilityZone as AvailabilityZoneId,
		ready: true,
		leaving: false,
		configurationVersion: 5,
		registryOffset: 0,
		registryDigest: 0,
		stateAgeMs: 0,
		reachesStore: true,
	};
}

/** An instance in zone `nasr` that lacks a configuration until it has adopted one. */
function setUp({isFirst, version = 4}: {isFirst: boolean; version?: number}) {
	const asked: string[] = [];
	const own = {version};
	const asker = new StateAsker({
		context: {logger: silentLogger, settings: {availabilityZone: 'nasr'}} as unknown as StateAskerOptions['context'],
		compare: ({configurationVersion}) => configurationVersion > own.version
			? {configurationVersion: own.version, wantsRegistry: false}
			: undefined,
		isFirstOfZone: () => isFirst,
		async fetch(host) {
			asked.push(host);
			return ok({});
		},
		adopt() {
			own.version = 5;
		},
	});
	return {asked, own, asker};
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
			await Promise.resolve();
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

	it('should ask few at a time, whoever knows more', () => {
		const {asked, asker} = setUp({isFirst: true});
		for (const host of ['10.1.0.1', '10.1.0.2', '10.1.0.3', '10.1.0.4']) {
			asker.heard(member(host, 'giza'));
		}

		assert.equal(asked.length, 2);
	});
});
