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
const limitMs = 20_000;
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

async function until(what: string, condition: () => boolean): Promise<void> {
	const endMs = performance.now() + limitMs;
	while (!condition()) {
		assert.ok(performance.now() < endMs, `waited in vain: ${what}`);
		await nextTurn();
	}
}

function suspectOf(fingerprint: string) {
	return suspectSchema.parse({fingerprint, crashes: [{upstream, atMs: 1}], clearedAtMs: 0});
}

class Node {
	readonly context;
	readonly membership: MembershipTask;
	readonly peers: PeersTask;
	readonly #caller: Address;

	constructor(name: string, seeds: readonly Address[], listUrl: string) {
		const bytes = new ControlBytes();
		this.context = createContextFixture({
			incarnation: name,
			settings: {
				instanceList: {url: listUrl, pollIntervalMs: 50},
				membership: {seeds: [...seeds], gossip: timing, listBytesPerSecond: 1_000_000},
			},
		});
		this.#caller = addressSchema.parse(`10.0.0.${name.codePointAt(0)}:80`);
		const clients = new PeerClients({secrets: this.context.settings.peerSecrets, bytes});
		this.membership = new MembershipTask(this.context, {
			clients,
			bytes,
			ownAddresses: () => ({callerAddress: this.#caller, peerAddress: this.peers.address}),
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

	offers(other: Node): boolean {
		return this.membership.offered().some(({callerAddress}) => callerAddress === other.#caller);
	}
}

describe('membership of real tasks', () => {
	let listed: unknown[] = [];
	const list = createServer((_request, response) => {
		response.end(JSON.stringify({instances: listed}));
	});
	const nodes: Node[] = [];

	before(async () => {
		await new Promise<void>(resolve => {
			list.listen(0, '127.0.0.1', resolve);
		});
		const listUrl = `http://127.0.0.1:${(list.address() as AddressInfo).port}`;
		for (const name of ['a', 'b', 'c']) {
			const node = new Node(name, nodes.slice(0, 1).map(({peers}) => peers.address), listUrl);
			nodes.push(node);
			await node.start();
		}
	});

	after(async () => {
		await Promise.all(nodes.map(async node => node.stop()));
		list.closeAllConnections();
		list.close();
	});

	it('should find everyone through one seed', async () => {
		await until('all offer all', () => nodes.every(node => nodes.every(other => node.offers(other))));
	});

	it('should tell everyone of a drain mark, and of the list bringing the upstream back', async () => {
		const told: string[] = [];
		nodes[2]!.context.bus.on('upstream-draining', message => {
			told.push(message.source);
		});
		nodes[0]!.context.bus.send({
			type: 'upstream-sign', upstream, sign: 'marked', sentAtMs: 0,
		});
		await until('all know the mark', () => nodes.every(({membership}) => membership.isDraining(upstream)));
		assert.deepEqual(told, ['peer']);
		const entry = {
			id: 'x', role: 'upstream', address: upstreamAddress, availabilityZone: 'nasr',
		};
		listed = [{...entry, state: 'leaving'}];
		await until('the lists are read', () => nodes.every(({membership}) => membership.listed.length === 1));
		listed = [{...entry, state: 'live'}];
		await until('all know the clearing', () => nodes.every(({membership}) => !membership.isDraining(upstream)));
	});

	it('should hand suspects to everyone, each once', async () => {
		const heard: string[] = [];
		for (const node of nodes.slice(1)) {
			node.context.bus.on('suspects-received', ({suspects}) => {
				heard.push(...suspects.map(({fingerprint}) => fingerprint));
			});
		}

		const suspect = suspectOf('0'.repeat(22));
		nodes[0]!.context.bus.send({type: 'suspects-changed', suspects: [suspect]});
		await until('both heard', () => heard.length === 2);
		assert.deepEqual(heard, [suspect.fingerprint, suspect.fingerprint]);
	});

	it('should no longer offer an instance that leaves, on any instance', async () => {
		await nodes[2]!.membership.leave();
		await until('none offers it', () => nodes.every(node => !node.offers(nodes[2]!)));
		assert.equal(nodes[2]!.offers(nodes[0]!), true);
	});

	it('should no longer offer an instance that is gone', async () => {
		await nodes[1]!.stop();
		await until('it is not offered', () => !nodes[0]!.offers(nodes[1]!));
		assert.equal(nodes[0]!.offers(nodes[0]!), true);
	});
});
