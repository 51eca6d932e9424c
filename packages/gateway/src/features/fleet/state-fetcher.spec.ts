import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import type {AvailabilityZoneId, IncarnationId} from '@cairnbank/core';
import type {FleetMember} from '@cairnbank/core/fleet';
import {createRandomSource} from '@cairnbank/core/random';
import {unknownEpoch} from '@cairnbank/core/registry';
import {ok} from 'neverthrow';
import {StateFetcher, type StateFetcherOptions} from './state-fetcher.js';

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
		suspectsDigest: 0,
		reachesStore: true,
		reachesUpstreams: true,
	};
}

/** Creates the fetcher of an instance in zone `nasr` that has an older configuration until it has adopted the current one. */
function createFetcher({isFirst, version = 4, busy = {}}: {isFirst: boolean; version?: number; busy?: Readonly<Record<string, readonly string[]>>}) {
	const asked: string[] = [];
	const own = {version};
	const fetcher = new StateFetcher({
		context: {logger: silentLogger, random: createRandomSource(1), settings: {host: '10.0.0.1', availabilityZone: 'nasr'}} as unknown as StateFetcherOptions['context'],
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
	return {asked, own, fetcher};
}

async function settle(): Promise<void> {
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

describe('StateFetcher', () => {
	it('should fetch from an instance of its own availability zone at once', () => {
		const {asked, fetcher} = createFetcher({isFirst: false});
		fetcher.receiveHeartbeat(member('10.0.0.2', 'nasr'));
		assert.deepEqual(asked, ['10.0.0.2']);
	});

	it('should fetch from another availability zone at once only if it is the first instance of its own', () => {
		const first = createFetcher({isFirst: true});
		first.fetcher.receiveHeartbeat(member('10.1.0.2', 'giza'));
		assert.deepEqual(first.asked, ['10.1.0.2']);

		const other = createFetcher({isFirst: false});
		other.fetcher.receiveHeartbeat(member('10.1.0.2', 'giza'));
		assert.deepEqual(other.asked, []);
		other.fetcher.stop();
	});

	it('should not fetch from another zone what it has fetched from its own zone in the meantime', async () => {
		await inManualTime(async () => {
			const {asked, fetcher} = createFetcher({isFirst: false});
			fetcher.receiveHeartbeat(member('10.1.0.2', 'giza'));
			fetcher.receiveHeartbeat(member('10.0.0.2', 'nasr'));
			await settle();
			mock.timers.tick(1000);
			assert.deepEqual(asked, ['10.0.0.2']);
		});
	});

	it('should fetch from another availability zone if its own does not have the state in time', async () => {
		await inManualTime(async () => {
			const {asked, fetcher} = createFetcher({isFirst: false});
			fetcher.receiveHeartbeat(member('10.1.0.2', 'giza'));
			mock.timers.tick(1000);
			assert.deepEqual(asked, ['10.1.0.2']);
		});
	});

	it('should fetch at once while it has no configuration', () => {
		const {asked, fetcher} = createFetcher({isFirst: false, version: 0});
		fetcher.receiveHeartbeat(member('10.1.0.2', 'giza'));
		assert.deepEqual(asked, ['10.1.0.2']);
	});

	it('should follow the referrals of busy instances, up to a limit', async () => {
		const hosts = ['10.0.0.2', '10.0.0.3'];
		const {asked, fetcher, own} = createFetcher({isFirst: false, busy: {'10.0.0.2': ['10.0.0.3']}});
		fetcher.receiveHeartbeat(member('10.0.0.2', 'nasr'));
		await settle();
		assert.deepEqual(asked, hosts);
		assert.equal(own.version, 5);

		const circle = createFetcher({isFirst: false, busy: {'10.0.0.2': ['10.0.0.3'], '10.0.0.3': ['10.0.0.2']}});
		circle.fetcher.receiveHeartbeat(member('10.0.0.2', 'nasr'));
		await settle();
		assert.equal(circle.asked.length, 4);
	});

	it('should limit the number of concurrent fetches', () => {
		const {asked, fetcher} = createFetcher({isFirst: true});
		for (const host of ['10.1.0.1', '10.1.0.2', '10.1.0.3', '10.1.0.4']) {
			fetcher.receiveHeartbeat(member(host, 'giza'));
		}

		assert.equal(asked.length, 2);
	});
});
