import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {Deployment, type CallResponse} from '../harness/index.js';
import {RawUpstream} from '../stand-ins/raw-upstream.js';

function answer(status: string, outcome: string): string {
	return `HTTP/1.1 ${status}\r\ncairnbank-outcome: ${outcome}\r\ncontent-length: 4\r\n\r\ndone`;
}

/** Answers of a service that ran but forwards the outcome header of a service that it called. */
const answersWithOutcome = [
	['200 OK', 'not-run'], ['404 Not Found', 'not-run'], ['502 Bad Gateway', 'unknown'],
] as const;

describe('outcome headers in answers of upstreams', () => {
	const upstreams = answersWithOutcome.map(([status, outcome]) => new RawUpstream([{text: answer(status, outcome), end: 'keep'}]));
	const shedding = new RawUpstream([{text: answer('503 Service Unavailable', 'not-run'), end: 'keep'}]);
	let deployment: Deployment;

	before(async () => {
		await Promise.all([...upstreams, shedding].map(async upstream => upstream.start()));
		deployment = await Deployment.start({services: [], daemons: 1});
		await deployment.publish({
			kind: 'inventory',
			services: [...upstreams, shedding].map(({address}, index) => ({
				id: `service-${index}`,
				upstreams: [{
					id: `upstream-${index}`, address, availabilityZone: 'zone-a', slots: 4, connections: 400,
				}],
			})),
		});
	});
	after(async () => {
		await deployment.stop();
		await Promise.all([...upstreams, shedding].map(async upstream => upstream.stop()));
	});

	async function post(index: number): Promise<CallResponse> {
		return deployment.caller.call({
			instance: deployment.daemons[0]!.callersAddress, path: `/service-${index}/x`, method: 'POST', body: '{}',
		});
	}

	for (const [index, [status, outcome]] of answersWithOutcome.entries()) {
		it(`should not be passed to the caller as the outcome of its call: ${status} with ${outcome}`, async () => {
			const result = await post(index);
			assert.equal(result.type, 'answered');
			assert.deepEqual([String(result.statusCode), result.body], [status.slice(0, 3), 'done']);
		});
	}

	it('should be taken as explicit load shedding on a 503', async () => {
		const result = await post(answersWithOutcome.length);
		assert.equal(result.type, 'not-run');
	});
});
