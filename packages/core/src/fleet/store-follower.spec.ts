import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {IncarnationId} from '../model/ids.js';
import {chooseFollower, type FollowerCandidate} from './store-follower.js';

function candidates(count: number): FollowerCandidate[] {
	return Array.from({length: count}, (_, index) => ({incarnation: `life-${index}` as IncarnationId, reachesStore: true, leaving: false}));
}

describe('chooseFollower', () => {
	it('should choose the same follower on every instance with the same view', () => {
		const all = candidates(13);
		assert.equal(chooseFollower(all), chooseFollower(all.toReversed()));
	});

	it('should choose another follower only if the follower itself is gone', () => {
		const all = candidates(13);
		const follower = chooseFollower(all);
		const other = all.find(({incarnation}) => incarnation !== follower)!;
		assert.equal(chooseFollower(all.filter(candidate => candidate !== other)), follower);
		assert.notEqual(chooseFollower(all.filter(({incarnation}) => incarnation !== follower)), follower);
	});

	it('should skip instances that cannot reach the store or that are leaving', () => {
		const all = candidates(5);
		const follower = chooseFollower(all);
		const changed = (change: Partial<FollowerCandidate>) => all.map(candidate => candidate.incarnation === follower ? {...candidate, ...change} : candidate);
		assert.notEqual(chooseFollower(changed({reachesStore: false})), follower);
		assert.notEqual(chooseFollower(changed({leaving: true})), follower);
	});

	it('should choose one even if none reaches the store', () => {
		assert.ok(chooseFollower(candidates(3).map(candidate => ({...candidate, reachesStore: false}))));
	});
});
