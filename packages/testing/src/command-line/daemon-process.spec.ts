import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {
	after, before, describe, it,
} from 'node:test';
import {fileURLToPath} from 'node:url';
import {
	daemonSettings, NodeProcess, waitFor, type NodeProcessOptions,
} from '../harness/index.js';
import {InstanceListStandIn, LogStandIn} from '../stand-ins/index.js';

const script = fileURLToPath(import.meta.resolve('@cairnbank/daemon').replace(/index\.js$/u, 'main.js'));

async function refusesConnections(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1');
		socket.once('connect', () => {
			socket.destroy();
			resolve(false);
		});
		socket.once('error', () => {
			resolve(true);
		});
	});
}

describe('cairnbankd as a process', () => {
	const log = new LogStandIn();
	const list = new InstanceListStandIn();

	before(async () => {
		await log.start();
		await list.start();
	});
	after(async () => {
		await list.stop();
		await log.stop();
	});

	function settings(overrides: Readonly<Record<string, unknown>> = {}): string {
		return JSON.stringify(daemonSettings({
			id: 'entry-1', availabilityZone: 'nadi', logUrl: log.url, instanceListUrl: list.url, settings: {addresses: {ttlMs: 50}, stopping: {spreadMs: 50}, ...overrides},
		}));
	}

	function start(options: Omit<NodeProcessOptions, 'script'>): NodeProcess {
		return new NodeProcess({script, ...options});
	}

	async function waitUntilListening(daemon: NodeProcess): Promise<void> {
		await daemon.waitForLine('the caller port is open', ({event, listener}) => event === 'listening' && listener === 'callers');
	}

	it('should exit 2 and name every fault in its settings', async () => {
		const daemon = start({args: ['--settings', '-'], standardInput: settings({availabilityZone: 'not a name', calls: {maximumInFlight: 0}, extra: 1})});
		const {code} = await daemon.exited;
		const errors = daemon.otherLines.join('\n');
		assert.equal(code, 2);
		for (const path of ['availabilityZone', 'calls.maximumInFlight', 'extra']) {
			assert.ok(errors.includes(`  ${path}: `), path);
		}
	});

	it('should exit 2 without settings, for an unknown option and for text that is not JSON', async () => {
		const daemons = [start({}), start({args: ['--setings', 'a.json']}), start({args: ['--settings', '-'], standardInput: '{'})];
		const ends = await Promise.all(daemons.map(async daemon => daemon.exited));
		assert.deepEqual(ends.map(({code}) => code), [2, 2, 2]);
	});

	it('should exit 1 and name the port that is already in use', async () => {
		const occupant = createServer().listen(0, '127.0.0.1');
		await once(occupant, 'listening');
		const {port} = occupant.address() as AddressInfo;
		const daemon = start({args: ['--settings', '-'], standardInput: settings({callers: {port}})});
		const {code} = await daemon.exited;
		occupant.close();
		assert.equal(code, 1);
		assert.match(daemon.otherLines.join('\n'), new RegExp(`cannot listen for callers: .*:${port}`));
	});

	it('should read its settings from the environment', async () => {
		const daemon = start({environment: {CAIRNBANK_SETTINGS: settings()}});
		await waitUntilListening(daemon);
		daemon.kill('SIGINT');
		assert.deepEqual(await daemon.exited, {code: 0, signal: undefined});
	});

	it('should stop gracefully on SIGTERM during startup', async () => {
		const daemon = start({args: ['--settings', '-'], standardInput: settings()});
		await daemon.waitForLine('the first port is open', ({event}) => event === 'listening');
		daemon.kill('SIGTERM');
		assert.deepEqual(await daemon.exited, {code: 0, signal: undefined});
	});

	it('should stop once, however many signals it receives', async () => {
		const daemon = start({args: ['--settings', '-'], standardInput: settings({stopping: {spreadMs: 300}})});
		await waitUntilListening(daemon);
		daemon.kill('SIGTERM');
		await waitFor('the daemon starts leaving', () => daemon.lines.some(({event}) => event === 'leaving'));
		daemon.kill('SIGTERM');
		daemon.kill('SIGINT');
		assert.deepEqual(await daemon.exited, {code: 0, signal: undefined});
		const events = daemon.lines.map(({event}) => event);
		assert.deepEqual(events.filter(event => event === 'leaving' || event === 'stopped'), ['leaving', 'stopped']);
	});

	it('should exit although connections are idle or in the middle of a request', async () => {
		const daemon = start({args: ['--settings', '-'], standardInput: settings({calls: {readTimeoutMs: 100}})});
		await waitUntilListening(daemon);
		const ports = daemon.lines.filter(({event}) => event === 'listening').map(({port}) => Number(port));
		const sockets = ports.flatMap(port => [connect(port, '127.0.0.1'), connect(port, '127.0.0.1')]);
		await Promise.all(sockets.map(async socket => once(socket, 'connect')));
		for (const [index, socket] of sockets.entries()) {
			socket.on('error', () => undefined);
			socket.write(index % 2 === 0 ? '' : 'GET /records HTTP/1.1\r\nHost: entry\r\n');
		}

		daemon.kill('SIGTERM');
		assert.deepEqual(await daemon.exited, {code: 0, signal: undefined});
	});

	it('should answer a request that was partly received when the port closed', async () => {
		const daemon = start({args: ['--settings', '-'], standardInput: settings()});
		await waitUntilListening(daemon);
		const {port} = daemon.lines.find(({listener}) => listener === 'callers') as {port: number};
		const socket = connect(port, '127.0.0.1');
		await once(socket, 'connect');
		socket.write('GET /records/x HTTP/1.1\r\nHost: entry\r\n');
		daemon.kill('SIGTERM');
		await waitFor('the port is closed', async () => refusesConnections(port));
		socket.end('\r\n');
		const answer = await text(socket);
		assert.match(answer, /^HTTP\/1\.1 503 .*cairnbank-outcome: not-run.*"outcome":"not-run"}$/s);
		assert.deepEqual(await daemon.exited, {code: 0, signal: undefined});
	});

	it('should write no secret to its log', async () => {
		const daemon = start({args: ['--settings', '-'], standardInput: settings({logging: {level: 'debug'}})});
		await waitUntilListening(daemon);
		daemon.kill('SIGTERM');
		await daemon.exited;
		const output = [...daemon.lines.map(line => JSON.stringify(line)), ...daemon.otherLines].join('\n');
		assert.doesNotMatch(output, /-secret-of-the-tests/);
	});
});
