import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {Deployment, type CallResponse} from '../harness/index.js';
import {RawUpstream} from '../stand-ins/raw-upstream.js';

function answer(status: string, outcome: string): string {
	return `HTTP/1.1 ${status}\r\ncairnbank-outcome: ${outcome}\r\ncontent-length: 4\r\n\r\ndone`;
}

/** A service that passes on the headers of the one it called answers so, although it ran itself. */
const markedAnswers = [
	['200 OK', 'not-run'], ['404 Not Found', 'not-run'], ['502 Bad Gateway', 'unknown'],
] as const;

describe('outcome marks on answers of upstreams', () => {
	const upstreams = markedAnswers.map(([status, outcome]) => new RawUpstream([{text: answer(status, outcome), end: 'keep'}]));
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

	for (const [index, [status, outcome]] of markedAnswers.entries()) {
		it(`should not reach the caller as the system's word: ${status} marked ${outcome}`, async () => {
			const told = await post(index);
			assert.equal(told.type, 'answered');
			assert.deepEqual([String(told.statusCode), told.body], [status.slice(0, 3), 'done']);
		});
	}

	it('should count as an explicit shed on a 503', async () => {
		const told = await post(markedAnswers.length);
		assert.equal(told.type, 'not-run');
	});
});
