/** Steps about operators who publish at the same moment. */
import assert from 'node:assert/strict';
import {Then as then, When as when} from '@cucumber/cucumber';
import type {PublishVerdict} from '@cairnbank/protocol/publishing';
import {inventoryOf} from '../fixtures/fleet.js';
import {ScriptedUpstream} from '../fixtures/scripted-upstream.js';
import {sendRequest} from '../fixtures/send-request.js';
import type {MatrixWorld} from './matrix-world.js';

type Move = {
	readonly upstream: ScriptedUpstream;
	readonly verdict: PublishVerdict;
};

const movesOf = new WeakMap<MatrixWorld, readonly Move[]>();

function winnerOf(world: MatrixWorld): ScriptedUpstream {
	return movesOf.get(world)!.find(move => move.verdict.type === 'accepted')!.upstream;
}

when('two operators move the service to different upstreams at the same moment', async function (this: MatrixWorld) {
	const baseOffset = this.fleet.offset;
	const moves = ['first', 'second'].map(async (author): Promise<Move> => {
		const upstream = await new ScriptedUpstream(`${this.service}-${author}`).start();
		this.upstreams.push(upstream);
		const verdict = await this.fleet.publishAs(author, inventoryOf(this.service, [upstream]), baseOffset);
		return {upstream, verdict};
	});
	movesOf.set(this, await Promise.all(moves));
});

then('one change is accepted, and the other one is told of the conflict', async function (this: MatrixWorld) {
	const verdicts = movesOf.get(this)!.map(move => move.verdict);
	assert.deepEqual(verdicts.map(verdict => verdict.type).sort(), ['accepted', 'conflict'], JSON.stringify(verdicts));
	const accepted = verdicts.find(verdict => verdict.type === 'accepted')!;
	for (const name of this.instanceNames) {
		await this.fleet.known(name).waitForConfiguration(accepted.offset);
	}
});

then('every instance sends new work to the upstream of the accepted change alone', async function (this: MatrixWorld) {
	const winner = winnerOf(this);
	const before = winner.received;
	const others = this.upstreams.filter(upstream => upstream !== winner);
	const receivedBefore = others.map(upstream => upstream.received);
	for (const name of this.instanceNames) {
		await sendRequest(this.newRequest('query'), {address: this.address(name)});
	}

	assert.equal(winner.received, before + this.instanceNames.length);
	assert.deepEqual(others.map(upstream => upstream.received), receivedBefore);
});
