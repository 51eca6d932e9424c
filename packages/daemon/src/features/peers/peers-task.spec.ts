import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, describe, it} from 'node:test';
import {addressSchema} from '@cairnbank/core';
import {gossipDigestSchema, type GossipDigest} from '@cairnbank/core/membership';
import {Registry} from 'prom-client';
import {createContextFixture} from '../../kernel/daemon-context-fixture.js';
import {ControlBytes} from '../../metrics/control-bytes.js';
import {handlerWithoutTables} from '../at-most-once/at-most-once-handler-fixture.js';
import {PeerClients} from './peer-clients.js';
import {PeersTask} from './peers-task.js';

const [oldSecret, newSecret, otherSecret] = ['old-secret-for-specs', 'new-secret-for-specs', 'other-secret-for-specs'];
const timeoutMs = 5000;

function digestOf(instance: string): GossipDigest {
	return gossipDigestSchema.parse({
		self: {
			instance,
			incarnation: instance,
			heartbeat: 1,
			state: 'live',
			callerAddress: '127.0.0.1:1',
			peerAddress: '127.0.0.1:2',
			availabilityZone: 'nasr',
			configurationOffset: 0,
			configurationHash: '',
			callsPerSecond: 0,
		},
		members: [],
		heartbeats: {},
		suspicions: [],
		drainMarks: [],
		poisonSuspects: [],
	});
}

describe('calls between daemons', () => {
	const closers: Array<() => Promise<void>> = [];
	after(async () => {
		await Promise.all(closers.map(async close => close()));
	});

	async function startServer(exchange: (digest: GossipDigest) => GossipDigest) {
		const bytes = new ControlBytes();
		const context = createContextFixture({settings: {peerSecrets: [newSecret, oldSecret]}});
		const task = new PeersTask(context, {membership: {exchange}, atMostOnce: handlerWithoutTables, configuration: {transfer: () => undefined}}, {bytes, clients: createClients(newSecret)});
		const started = await task.start();
		assert.equal(started.isOk(), true);
		closers.push(async () => task.stop());
		return {task, bytes};
	}

	function createClients(secret: string): PeerClients {
		const clients = new PeerClients({secrets: [secret], bytes: new ControlBytes()});
		closers.unshift(async () => clients.close());
		return clients;
	}

	it('should send a digest and return one with either accepted secret', async () => {
		const receivedFrom: string[] = [];
		const {task, bytes} = await startServer(digest => {
			receivedFrom.push(digest.self.instance);
			return digestOf('answerer');
		});
		for (const secret of [oldSecret, newSecret]) {
			const answer = await createClients(secret).call(task.address, timeoutMs, async (peer, signal) =>
				peer.membership.exchange.mutate(digestOf(secret), {signal}));
			assert.deepEqual(answer._unsafeUnwrap(), digestOf('answerer'));
		}

		assert.deepEqual(receivedFrom, [oldSecret, newSecret]);
		const registry = new Registry();
		bytes.register(registry);
		assert.match(await registry.metrics(), /cairnbank_control_bytes_total{channel="peers",direction="received"} [1-9]/);
	});

	it('should reject other secrets before a call is handled', async () => {
		let handled = 0;
		const {task} = await startServer(digest => {
			handled += 1;
			return digest;
		});
		const answer = await createClients(otherSecret).call(task.address, timeoutMs, async (peer, signal) =>
			peer.membership.exchange.mutate(digestOf('stranger'), {signal}));
		assert.equal(answer._unsafeUnwrapErr().type, 'unauthorized');
		assert.equal(handled, 0);
	});

	it('should reject a malformed digest', async () => {
		const {task} = await startServer(digest => digest);
		const malformed: GossipDigest = {...digestOf('a'), poisonSuspects: [], heartbeats: Object.fromEntries([['a', -1]])};
		const answer = await createClients(newSecret).call(task.address, timeoutMs, async (peer, signal) =>
			peer.membership.exchange.mutate(malformed, {signal}));
		assert.equal(answer._unsafeUnwrapErr().type, 'refused');
	});

	it('should distinguish an unreachable peer from one that does not answer in time', async () => {
		const silentServer = createServer();
		await new Promise<void>(resolve => {
			silentServer.listen(0, '127.0.0.1', resolve);
		});
		const address = addressSchema.parse(`127.0.0.1:${(silentServer.address() as AddressInfo).port}`);
		const clients = createClients(newSecret);
		const call = async (limitMs: number) => clients.call(address, limitMs, async (peer, signal) =>
			peer.membership.exchange.mutate(digestOf('a'), {signal}));
		const timedOut = await call(50);
		assert.equal(timedOut._unsafeUnwrapErr().type, 'unacknowledged');
		silentServer.closeAllConnections();
		await new Promise(resolve => {
			silentServer.close(resolve);
		});
		const refused = await call(timeoutMs);
		assert.equal(refused._unsafeUnwrapErr().type, 'unreachable');
	});
});
