import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {
	addressSchema, createRandomSource, incarnationIdSchema, ManualClock, type Address,
} from '@cairnbank/core';
import {applyRecord, initialConfiguration, type ConfigurationState} from '@cairnbank/core/configuration';
import {createOperatorsClient, type OperatorsClient} from '@cairnbank/protocol/operators';
import {Counter, Registry} from 'prom-client';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {MessageBus} from '../../kernel/message-bus.js';
import {createLogger} from '../../logging/create-logger.js';
import {settingsSchema} from '../../settings/settings.js';
import {createTracing} from '../../tracing/create-tracing.js';
import {AdminTask} from './admin-task.js';

const newerSecret = 'newer-operator-secret';
const olderSecret = 'older-operator-secret';

const settings = settingsSchema.parse({
	instanceId: 'entry-01',
	availabilityZone: 'nadi',
	callers: {port: 0},
	peers: {port: 0},
	admin: {port: 0},
	log: {url: 'http://127.0.0.1:9'},
	instanceList: {url: 'http://127.0.0.1:9'},
	peerSecrets: ['a-peer-secret-of-length'],
	operatorSecrets: [newerSecret, olderSecret],
});

const inventory = {
	kind: 'inventory',
	services: [{
		id: 'records',
		upstreams: [{
			id: 'records-01', address: '127.0.0.1:9', availabilityZone: 'nadi', slots: 4, connections: 200,
		}],
	}],
};

const record = {
	type: 'change', id: 'first', baseOffset: 0, author: 'clerk', change: inventory,
};

describe('admin port', () => {
	let bus: MessageBus;
	let lines: string[];
	let task: AdminTask;
	let address: Address;
	let configuration: ConfigurationState;
	let context: DaemonContext;

	beforeEach(async () => {
		bus = new MessageBus();
		lines = [];
		configuration = initialConfiguration;
		context = {
			settings,
			incarnation: incarnationIdSchema.parse('incarnation-1'),
			clock: new ManualClock(),
			random: createRandomSource(1),
			bus,
			logger: createLogger({level: 'info', instance: 'entry-01', write: line => lines.push(line)}),
			metrics: new Registry(),
			tracing: createTracing(settings),
		};
		task = new AdminTask(context, {
			configuration: () => configuration,
			observeUpstream: () => ({state: 'ready', inFlight: 2}),
			members: () => [],
			callersAddress: () => addressSchema.parse('127.0.0.1:8080'),
		});
		const started = await task.start();
		assert.ok(started.isOk());
		const {port} = JSON.parse(lines[0]!) as {port: number};
		address = addressSchema.parse(`127.0.0.1:${port}`);
	});

	afterEach(async () => {
		await task.stop();
	});

	function operators(secret: string): OperatorsClient {
		return createOperatorsClient({address, secret, timeoutMs: 5000});
	}

	function putInForce(): void {
		configuration = applyRecord(initialConfiguration, {offset: 1, value: record}).state;
		bus.send({type: 'configuration-in-force', configuration});
	}

	async function get(path: string): Promise<Response> {
		return fetch(`http://${address}${path}`);
	}

	it('should be healthy immediately and ready after a configuration is in force', async () => {
		const before = await Promise.all([get('/healthz'), get('/readyz')]);
		putInForce();
		const after = await get('/readyz');
		assert.deepEqual([...before, after].map(({status}) => status), [200, 503, 200]);
	});

	it('should not be ready while it leaves, even if a configuration is put in force', async () => {
		bus.send({type: 'leaving'});
		putInForce();
		const ready = await get('/readyz');
		assert.equal(ready.status, 503);
		assert.equal(await ready.text(), 'leaving');
	});

	it('should serve the metrics of the registry', async () => {
		new Counter({name: 'specs_total', help: 'Specs', registers: [context.metrics]}).inc();
		const metrics = await get('/metrics');
		const text = await metrics.text();
		assert.match(text, /^specs_total 1$/m);
		assert.match(text, /^cairnbank_ready 0$/m);
		assert.match(text, /^cairnbank_configuration_accepted_offset 0$/m);
	});

	it('should report the configuration in force and the observed state to operators', async () => {
		putInForce();
		const status = await operators(newerSecret).status();
		const {configuration: reported, upstreams, state, recentChanges} = status._unsafeUnwrap();
		assert.deepEqual([state, reported.acceptedOffset, reported.throughOffset], ['ready', 1, 1]);
		assert.deepEqual(upstreams.map(({id, service, inFlight}) => ({id, service, inFlight})), [{id: 'records-01', service: 'records', inFlight: 2}]);
		assert.deepEqual(recentChanges, [{id: 'first', offset: 1, verdict: 'accepted'}]);
	});

	it('should accept both secrets during a rotation', async () => {
		const answers = await Promise.all([newerSecret, olderSecret].map(async secret => operators(secret).brief()));
		assert.ok(answers.every(answer => answer.isOk()));
	});

	it('should reject every procedure without an accepted secret', async () => {
		const client = operators('another-operator-secret');
		const answers = [await client.brief(), await client.status(), await client.configuration(), await client.drainInstance()];
		assert.deepEqual(answers.map(answer => answer._unsafeUnwrapErr().type), Array.from({length: 4}, () => 'unauthorized'));
	});

	it('should request a stop of the daemon when an operator drains the instance', async () => {
		let requests = 0;
		const unsubscribe = bus.on('stop-requested', () => {
			requests += 1;
		});
		const answer = await operators(newerSecret).drainInstance();
		unsubscribe();
		assert.ok(answer.isOk());
		assert.equal(requests, 1);
	});

	it('should answer invalid requests with an error and continue to serve', async () => {
		const answers = await Promise.all([
			get('/nonsense'),
			fetch(`http://${address}/operators/brief`, {method: 'POST', body: '{', headers: {authorization: `Bearer ${newerSecret}`}}),
			get('/operators/nonsense'),
		]);
		assert.ok(answers.every(({status}) => status >= 400 && status < 500));
		const health = await get('/healthz');
		assert.equal(health.status, 200);
	});
});
