/** Step definitions for operators who publish concurrently. */
import assert from 'node:assert/strict';
import {Then as then, When as when} from '@cucumber/cucumber';
import type {PublishVerdict} from '@cairnbank/protocol/publishing';
import {createInventory} from '../fixtures/fleet.js';
import {ScriptedUpstream} from '../fixtures/scripted-upstream.js';
import {sendRequest} from '../fixtures/send-request.js';
import type {MatrixWorld} from './matrix-world.js';

type MoveResult = {
	readonly upstream: ScriptedUpstream;
	readonly verdict: PublishVerdict;
};

const movesByWorld = new WeakMap<MatrixWorld, readonly MoveResult[]>();

function acceptedUpstreamOf(world: MatrixWorld): ScriptedUpstream {
	return movesByWorld.get(world)!.find(move => move.verdict.type === 'accepted')!.upstream;
}

when('two operators move the service to different upstreams at the same time', async function (this: MatrixWorld) {
	const baseOffset = this.fleet.publishedOffset;
	const moves = ['first', 'second'].map(async (author): Promise<MoveResult> => {
		const upstream = await new ScriptedUpstream(`${this.service}-${author}`).start();
		this.upstreams.push(upstream);
		const verdict = await this.fleet.publishAs(author, createInventory(this.service, [upstream]), baseOffset);
		return {upstream, verdict};
	});
	movesByWorld.set(this, await Promise.all(moves));
});

then('one change is accepted and the other is rejected as a conflict', async function (this: MatrixWorld) {
	const verdicts = movesByWorld.get(this)!.map(move => move.verdict);
	assert.deepEqual(verdicts.map(verdict => verdict.type).sort(), ['accepted', 'conflict'], JSON.stringify(verdicts));
	const accepted = verdicts.find(verdict => verdict.type === 'accepted')!;
	for (const name of this.instanceNames) {
		await this.fleet.getInstance(name).waitForConfiguration(accepted.offset);
	}
});

then('every instance sends new requests only to the upstream of the accepted change', async function (this: MatrixWorld) {
	const acceptedUpstream = acceptedUpstreamOf(this);
	const before = acceptedUpstream.receivedCount;
	const others = this.upstreams.filter(upstream => upstream !== acceptedUpstream);
	const receivedBefore = others.map(upstream => upstream.receivedCount);
	for (const name of this.instanceNames) {
		await sendRequest(this.newRequest('query'), {address: this.addressOf(name)});
	}

	assert.equal(acceptedUpstream.receivedCount, before + this.instanceNames.length);
	assert.deepEqual(others.map(upstream => upstream.receivedCount), receivedBefore);
});
