import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {headerNames} from '@cairnbank/protocol';
import {Deployment, waitFor, type DaemonProcess} from '../harness/index.js';

const crashHeader = 'x-poison';
const poison = {path: '/ledger/statement/17', headers: {[crashHeader]: '1'}};
const crashDownMs = 60_000;

describe('a request that crashes upstreams', () => {
	let deployment: Deployment;

	beforeEach(async () => {
		deployment = await Deployment.start({services: [{id: 'ledger', upstreams: 6, upstream: {slots: 4}}], daemons: 3});
		await deployment.publishInventory();
		await Promise.all(deployment.upstreams.map(async upstream => upstream.setFaults({crashHeader, crashDownMs})));
		await waitFor('all instances know each other', async () => {
			const counts = await Promise.all(deployment.daemons.map(async daemon => gauge(daemon, 'cairnbank_members{state="reachable"}')));
			return counts.every(count => count === 2);
		});
	});

	afterEach(async () => {
		await deployment.stop();
	});

	async function gauge({adminAddress: admin}: DaemonProcess, name: string): Promise<number> {
		const answer = await fetch(`http://${admin}/metrics`);
		const text = await answer.text();
		const line = text.split('\n').find(one => one.startsWith(name));
		return Number(line?.split(' ').at(-1) ?? 0);
	}

	/** Waits until all instances hold a suspect in this state. A real caller's resend takes a round trip, long enough for them to exchange it. */
	async function waitUntilState(state: 'suspected' | 'on-trial' | 'refused'): Promise<void> {
		await waitFor(`all instances have it as ${state}`, async () => {
			const counts = await Promise.all(deployment.daemons.map(async daemon => gauge(daemon, `cairnbank_suspects{state="${state}"}`)));
			return counts.every(count => count > 0);
		});
	}

	async function send(index: number, request: {path: string; headers?: Record<string, string>; requestId?: string; timeoutMs?: number}) {
		return deployment.caller.call({instance: deployment.daemons[index]!.callersAddress, ...request});
	}

	function crashes(): number {
		return deployment.upstreams.reduce((sum, {counters}) => sum + counters.crashes, 0);
	}

	it('should crash at most two upstreams when resent through three instances, then be refused', async () => {
		const first = await send(0, poison);
		await waitUntilState('suspected');
		const second = await send(1, poison);
		await waitUntilState('refused');
		const third = await send(2, poison);
		const fourth = await send(0, poison);
		assert.deepEqual([first.type, second.type, third.type, fourth.type], ['unknown', 'unknown', 'not-run', 'not-run']);
		assert.ok(third.type === 'not-run' && Number(third.headers['retry-after']) > 0);
		assert.equal(crashes(), 2);
	});

	it('should be refused by an instance that started afterwards', async () => {
		await send(0, poison);
		await waitUntilState('suspected');
		await send(1, poison);
		await waitUntilState('refused');
		const started = await deployment.startDaemon('entry-4', 'zone-a');
		await waitFor('the new instance refuses it', async () => await gauge(started, 'cairnbank_suspects{state="refused"}') > 0);
		const result = await send(3, poison);
		assert.equal(result.type, 'not-run');
		assert.equal(crashes(), 2);
	});

	it('should not affect requests that run on the same upstreams', async () => {
		const slow = {'x-service-ms': '200'};
		const harmless = Array.from({length: 9}, (_, index) => ({path: `/ledger/balance/${index}`, headers: slow}));
		const concurrent = harmless.map(async (request, index) => send(index % 3, request));
		await waitFor('the concurrent requests run', () => deployment.upstreams.reduce((sum, {inFlight}) => sum + inFlight, 0) === 9);
		await send(0, poison);
		await waitUntilState('suspected');
		await Promise.all(concurrent);
		const resent = await Promise.all(harmless.map(async (request, index) => send((index + 1) % 3, request)));
		assert.deepEqual(new Set(resent.map(({type}) => type)), new Set(['answered']));
		await send(1, poison);
		await waitUntilState('refused');
		const after = await Promise.all(harmless.map(async (request, index) => send((index + 2) % 3, request)));
		assert.ok(after.every(({type, ...result}) => type === 'answered' || !('body' in result) || !result.body.includes('suspected-poison')));
		assert.equal(crashes(), 2);
	});

	it('should not run anywhere else while an instance that learns of the crash is already running it', async () => {
		const report = {path: '/ledger/report', requestId: 'report', headers: {'x-service-ms': '10000'}};
		const busy = () => deployment.upstreams.filter(({inFlight}) => inFlight > 0);
		const first = send(0, report);
		await waitFor('one upstream runs it', () => busy().length === 1);
		const [crashing] = busy();
		await deployment.publish({kind: 'drain', upstream: crashing!.options.id, draining: true});
		const others = deployment.upstreams.filter(upstream => upstream !== crashing);
		const second = send(1, {...report, headers: {...report.headers, [headerNames.deadlineMs]: '20000'}});
		await waitFor('two runs', () => deployment.countRuns().get('report') === 2);
		const running = others.find(({inFlight}) => inFlight > 0);
		void crashing!.crash(crashDownMs);
		await waitUntilState('on-trial');
		const third = await send(2, {...report, headers: {...report.headers, [headerNames.deadlineMs]: '200'}});
		assert.equal(third.type, 'not-run');
		void running!.crash(crashDownMs);
		await waitUntilState('refused');
		const result = await Promise.all([first, second, send(2, report)]);
		assert.deepEqual(result.map(({type}) => type), ['unknown', 'unknown', 'not-run']);
		assert.equal(deployment.countRuns().get('report'), 2);
	});

	it('should be suspected even when its caller does not wait for the crash', async () => {
		const [victim] = deployment.upstreams;
		const {address, options: {id, availabilityZone}} = victim!;
		const upstream = {
			id, address, availabilityZone, slots: 4, connections: 200,
		};
		await deployment.publish({kind: 'inventory', services: [{id: 'ledger', upstreams: [upstream]}]});
		const result = await send(0, {path: '/ledger/report', headers: {'x-service-ms': '5000'}, timeoutMs: 300});
		assert.equal(result.type, 'cut');
		await victim!.setFaults({refusing: true});
		await waitFor('the abandoned request is suspected', async () => {
			await send(0, {path: '/ledger/balance'});
			return await gauge(deployment.daemons[0]!, 'cairnbank_suspects{state="suspected"}') > 0;
		});
	});
});
