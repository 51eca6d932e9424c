import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {Agent, request} from 'undici';
import {waitFor} from '../harness/wait-for.js';
import {UpstreamStandIn} from './upstream-stand-in.js';

describe('upstream stand-in', () => {
	let upstream: UpstreamStandIn;
	let agent: Agent;

	const call = async (id: string, headers: Record<string, string> = {}) => request(`http://${upstream.address}/pay`, {
		method: 'POST', body: '{}', headers: {'x-request-id': id, ...headers}, dispatcher: agent,
	});

	beforeEach(async () => {
		agent = new Agent();
		upstream = await new UpstreamStandIn({slots: 1, queueLength: 1, serviceMs: 0}).start();
	});
	afterEach(async () => {
		await agent.destroy();
		await upstream.stop();
	});

	it('should count runs by request', async () => {
		for (const id of ['a', 'b', 'a']) {
			const {body} = await call(id);
			await body.dump();
		}

		assert.deepEqual(upstream.runs.counts(), {a: 2, b: 1});
	});

	it('should shed requests explicitly when slots and queue are full, and report its load', async () => {
		await upstream.setFaults({frozen: false, serviceFactor: 1});
		const held = [call('held', {'x-service-ms': '200'}), call('queued', {'x-service-ms': '0'})];
		await waitFor('slot and queue taken', () => upstream.inFlight === 2);
		const shed = await call('shed');
		assert.deepEqual([shed.statusCode, shed.headers['cairnbank-outcome']], [503, 'not-run']);
		assert.equal(shed.headers['endpoint-load-metrics'], 'JSON {"application_utilization":2,"named_metrics":{"in_flight":2}}');
		await Promise.all(held);
		assert.equal(upstream.runs.countOf('shed'), 0);
	});

	it('should cancel queued work when its caller disconnects', async () => {
		const held = call('held', {'x-service-ms': '200'});
		await waitFor('slot taken', () => upstream.inFlight === 1);
		const leaving = new AbortController();
		const left = request(`http://${upstream.address}/pay`, {dispatcher: agent, headers: {'x-request-id': 'left'}, signal: leaving.signal});
		await waitFor('queued', () => upstream.inFlight === 2);
		leaving.abort();
		await assert.rejects(left);
		await waitFor('withdrawn', () => upstream.counters.cancelled === 1);
		await held;
		assert.equal(upstream.runs.countOf('left'), 0);
	});

	it('should crash on a marked request, refuse connections for a while and reopen on the same port', async () => {
		await upstream.setFaults({crashHeader: 'x-poison', crashDownMs: 50});
		await assert.rejects(call('poison', {'x-poison': '1'}));
		await waitFor('back', async () => {
			try {
				const {statusCode} = await call('after');
				return statusCode === 200;
			} catch {
				return false;
			}
		});
		assert.deepEqual([upstream.runs.countOf('poison'), upstream.counters.crashes], [1, 1]);
	});

	it('should reset the connection in the middle of a truncated answer', async () => {
		await upstream.setFaults({truncate: true, answerBytes: 10_000});
		const {statusCode, body} = await call('cut');
		assert.equal(statusCode, 200);
		await assert.rejects(body.text());
	});

	it('should continue held requests after it is thawed', async () => {
		await upstream.setFaults({frozen: true});
		const waiting = call('frozen');
		await upstream.setFaults({frozen: false});
		const {statusCode} = await waiting;
		assert.equal(statusCode, 200);
	});
});
