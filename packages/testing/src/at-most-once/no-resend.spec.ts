import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {headerNames} from '@cairnbank/protocol';
import {Deployment, type CallResponse} from '../harness/index.js';
import {RawUpstream, type RawReaction} from './raw-upstream.js';

const largeBody = 'x'.repeat(600_000);
const rounds = 150;

describe('requests whose bytes may have left', () => {
	const upstream = new RawUpstream();
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

	async function send(reaction: RawReaction, method: 'GET' | 'POST', body?: string): Promise<CallResponse> {
		upstream.reaction = reaction;
		return deployment.caller.call({
			instance: deployment.daemons[0]!.callersAddress, path: '/ledger/deposits', method, body, headers: {[headerNames.deadlineMs]: '2000'},
		});
	}

	const ends: Array<[RawReaction, CallResponse['type']]> = [
		['answer', 'answered'],
		['answer-with-close', 'answered'],
		['reset', 'unknown'],
		['end', 'unknown'],
		['half-answer', 'unknown'],
		['answer-without-length', 'unknown'],
	];
	for (const [reaction, told] of ends) {
		it(`should be sent once and told ${told} where the upstream's reaction is ${reaction}`, async () => {
			// The first call of each pair leaves a connection that is kept, or lost unnoticed.
			for (const method of ['POST', 'POST', 'GET', 'POST'] as const) {
				const result = await send(reaction, method, method === 'POST' ? '{}' : undefined);
				assert.equal(result.type, told);
				assert.equal(upstream.receiptsOf(result.requestId), 1);
			}
		});
	}

	it('should be told unknown where the connection is lost while the body is being sent', async () => {
		for (let round = 0; round < 5; round += 1) {
			const result = await send('reset-at-first-byte', 'POST', largeBody);
			assert.equal(result.type, 'unknown');
			assert.ok(upstream.receiptsOf(result.requestId) <= 1);
		}
	});

	it('should be sent once where kept connections close just as the next request is sent', async () => {
		const tellings: CallResponse[] = [];
		for (let round = 0; round < rounds; round += 1) {
			tellings.push(...await Promise.all([send('answer-and-reset', 'POST', '{}'), send('answer-and-reset', 'GET'), send('answer-and-reset', 'POST', '{}')]));
		}

		for (const {type, requestId} of tellings) {
			const receipts = upstream.receiptsOf(requestId);
			assert.ok(receipts <= 1, `${requestId} was sent ${receipts} times`);
			assert.ok(type !== 'not-run' || receipts === 0, `${requestId} was sent and told not run`);
			assert.ok(type !== 'answered' || receipts === 1);
		}
	});
});
