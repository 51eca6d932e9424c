import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	addressSchema, defaultRules, inventorySchema, upstreamIdSchema, type Address,
} from '@cairnbank/core';
import {initialConfiguration, type ConfigurationState} from '@cairnbank/core/configuration';
import {suspectSchema} from '@cairnbank/core/poison';
import {createContextFixture} from '../../kernel/daemon-context-fixture.js';
import {ControlBytes} from '../../metrics/control-bytes.js';
import {handlerWithoutTables} from '../at-most-once/at-most-once-handler-fixture.js';
import {PeerClients} from '../peers/peer-clients.js';
import {PeersTask} from '../peers/peers-task.js';
import {MembershipTask} from './membership-task.js';

const upstream = upstreamIdSchema.parse('ledger-01');
const upstreamAddress = '127.0.0.1:9';
const timeoutMs = 20_000;
const timing = {gossipIntervalMs: 50, unreachableHoldMs: 100, urgentIntervalMs: 5};

const configuration: ConfigurationState = {
	...initialConfiguration,
	throughOffset: 3,
	acceptedOffset: 3,
	rules: defaultRules,
	inventory: inventorySchema.parse({
		kind: 'inventory',
		services: [{
			id: 'ledger',
			upstreams: [{
				id: upstream, address: upstreamAddress, availabilityZone: 'nasr', slots: 3, connections: 250,
			}],
		}],
	}),
};

async function waitFor(what: string, condition: () => boolean): Promise<void> {
	const endMs = performance.now() + timeoutMs;
	while (!condition()) {
		assert.ok(performance.now() < endMs, `timed out waiting until ${what}`);
		await nextTurn();
	}
}

function createSuspect(fingerprint: string) {
	return suspectSchema.parse({fingerprint, crashes: [{upstream, atMs: 1}], clearedAtMs: 0});
}

class InstanceFixture {
	readonly context;
	readonly membership: MembershipTask;
	readonly peers: PeersTask;
	readonly #callerAddress: Address;

	constructor(name: string, seeds: readonly Address[], listUrl: string) {
		const bytes = new ControlBytes();
		this.context = createContextFixture({
			incarnation: name,
			settings: {
				instanceList: {url: listUrl, pollIntervalMs: 50},
				membership: {seeds: [...seeds], gossip: timing, listBytesPerSecond: 1_000_000},
			},
		});
		this.#callerAddress = addressSchema.parse(`10.0.0.${name.codePointAt(0)}:80`);
		const clients = new PeerClients({secrets: this.context.settings.peerSecrets, bytes});
		this.membership = new MembershipTask(this.context, {
			clients,
			bytes,
			ownAddresses: () => ({callerAddress: this.#callerAddress, peerAddress: this.peers.address}),
			callsPerSecond: () => 0,
			tryProbe: () => true,
			knownSuspects: () => [],
		});
		this.peers = new PeersTask(this.context, {membership: this.membership, atMostOnce: handlerWithoutTables, configuration: {transfer: () => undefined}}, {bytes, clients});
	}

	async start(): Promise<void> {
		await this.peers.start();
		this.context.bus.send({type: 'configuration-in-force', configuration});
		await this.membership.start();
	}

	async stop(): Promise<void> {
		await this.membership.stop();
		await this.peers.stop();
	}

	offers(other: InstanceFixture): boolean {
		return this.membership.offered().some(({callerAddress}) => callerAddress === other.#callerAddress);
	}
}

describe('membership tasks of three instances', () => {
	let listed: unknown[] = [];
	const listServer = createServer((_request, response) => {
		response.end(JSON.stringify({instances: listed}));
	});
	const instances: InstanceFixture[] = [];

	before(async () => {
		await new Promise<void>(resolve => {
			listServer.listen(0, '127.0.0.1', resolve);
		});
		const listUrl = `http://127.0.0.1:${(listServer.address() as AddressInfo).port}`;
		for (const name of ['a', 'b', 'c']) {
			const instance = new InstanceFixture(name, instances.slice(0, 1).map(({peers}) => peers.address), listUrl);
			instances.push(instance);
			await instance.start();
		}
	});

	after(async () => {
		await Promise.all(instances.map(async instance => instance.stop()));
		listServer.closeAllConnections();
		listServer.close();
	});

	it('should discover all instances through one seed', async () => {
		await waitFor('all instances offer each other', () => instances.every(instance => instances.every(other => instance.offers(other))));
	});

	it('should spread a drain mark, and its clearing by the list, to all instances', async () => {
		const sources: string[] = [];
		instances[2]!.context.bus.on('upstream-draining', message => {
			sources.push(message.source);
		});
		instances[0]!.context.bus.send({
			type: 'upstream-sign', upstream, sign: 'marked', sentAtMs: 0,
		});
		await waitFor('all instances know the mark', () => instances.every(({membership}) => membership.isDraining(upstream)));
		assert.deepEqual(sources, ['peer']);
		const entry = {
			id: 'x', role: 'upstream', address: upstreamAddress, availabilityZone: 'nasr',
		};
		listed = [{...entry, state: 'leaving'}];
		await waitFor('all instances have read the list', () => instances.every(({membership}) => membership.listedInstances.length === 1));
		listed = [{...entry, state: 'live'}];
		await waitFor('all instances know that the mark is cleared', () => instances.every(({membership}) => !membership.isDraining(upstream)));
	});

	it('should pass each suspect to every other instance once', async () => {
		const received: string[] = [];
		for (const instance of instances.slice(1)) {
			instance.context.bus.on('suspects-received', ({suspects}) => {
				received.push(...suspects.map(({fingerprint}) => fingerprint));
			});
		}

		const suspect = createSuspect('0'.repeat(22));
		instances[0]!.context.bus.send({type: 'suspects-changed', suspects: [suspect]});
		await waitFor('both instances have received the suspect', () => received.length === 2);
		assert.deepEqual(received, [suspect.fingerprint, suspect.fingerprint]);
	});

	it('should stop offering an instance that leaves, on every instance', async () => {
		await instances[2]!.membership.leave();
		await waitFor('no instance offers it', () => instances.every(instance => !instance.offers(instances[2]!)));
		assert.equal(instances[2]!.offers(instances[0]!), true);
	});

	it('should stop offering an instance that has stopped', async () => {
		await instances[1]!.stop();
		await waitFor('it is not offered', () => !instances[0]!.offers(instances[1]!));
		assert.equal(instances[0]!.offers(instances[0]!), true);
	});
});
