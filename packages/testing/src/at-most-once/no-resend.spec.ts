import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {headerNames} from '@cairnbank/protocol';
import {Deployment, type CallResponse} from '../harness/index.js';
import {ReceiptCountingUpstream, type UpstreamReaction} from './receipt-counting-upstream.js';

const largeBody = 'x'.repeat(600_000);
const rounds = 150;

describe('requests that may already have reached the upstream', () => {
	const upstream = new ReceiptCountingUpstream();
	let deployment: Deployment;

	before(async () => {
		await upstream.start();
		deployment = await Deployment.start({services: [], daemons: 1});
		await deployment.publish({
			kind: 'inventory',
			services: [{
				id: 'ledger',
				upstreams: [{
					id: 'ledger-raw', address: upstream.address, availabilityZone: 'zone-a', slots: 4, connections: 20,
				}],
			}],
		});
	});
	after(async () => {
		await deployment.stop();
		await upstream.stop();
	});

	async function send(reaction: UpstreamReaction, method: 'GET' | 'POST', body?: string): Promise<CallResponse> {
		upstream.reaction = reaction;
		return deployment.caller.call({
			instance: deployment.daemons[0]!.callersAddress, path: '/ledger/deposits', method, body, headers: {[headerNames.deadlineMs]: '2000'},
		});
	}

	const expectedResults: Array<[UpstreamReaction, CallResponse['type']]> = [
		['answer', 'answered'],
		['answer-with-close', 'answered'],
		['reset', 'unknown'],
		['end', 'unknown'],
		['half-answer', 'unknown'],
		['answer-without-length', 'unknown'],
	];
	for (const [reaction, expected] of expectedResults) {
		it(`should be sent once and end as ${expected} when the upstream's reaction is ${reaction}`, async () => {
			// A preceding call can leave a kept-alive connection, or one that was closed without the daemon having noticed.
			for (const method of ['POST', 'POST', 'GET', 'POST'] as const) {
				const result = await send(reaction, method, method === 'POST' ? '{}' : undefined);
				assert.equal(result.type, expected);
				assert.equal(upstream.receiptCount(result.requestId), 1);
			}
		});
	}

	it('should end as unknown when the connection is lost while the body is being sent', async () => {
		for (let round = 0; round < 5; round += 1) {
			const result = await send('reset-at-first-byte', 'POST', largeBody);
			assert.equal(result.type, 'unknown');
			assert.ok(upstream.receiptCount(result.requestId) <= 1);
		}
	});

	it('should be sent at most once when kept-alive connections close just as the next request is sent', async () => {
		const results: CallResponse[] = [];
		for (let round = 0; round < rounds; round += 1) {
			results.push(...await Promise.all([send('answer-and-reset', 'POST', '{}'), send('answer-and-reset', 'GET'), send('answer-and-reset', 'POST', '{}')]));
		}

		for (const {type, requestId} of results) {
			const receipts = upstream.receiptCount(requestId);
			assert.ok(receipts <= 1, `${requestId} was sent ${receipts} times`);
			assert.ok(type !== 'not-run' || receipts === 0, `${requestId} was sent but reported as not run`);
			assert.ok(type !== 'answered' || receipts === 1);
		}
	});
});
