import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	chooseReadMode, nextPollMs, retryPauseMs, type ReadSituation,
} from './store-read-mode.js';

const settled: ReadSituation = {
	isFollower: false, isStandby: false, readersAheadInZone: 0, isKnown: true, isKnownToOthers: true, hasSeeds: false, isFirstStart: false, sinceStartMs: 60_000, ageMs: 300, spread: 0,
};

const started: ReadSituation = {
	...settled, isKnown: false, ageMs: Number.POSITIVE_INFINITY, sinceStartMs: 50,
};

describe('chooseReadMode', () => {
	describe('after the start', () => {
		it('should read at once if no other instance is known to have the state', () => {
			assert.equal(chooseReadMode({
				...started, sinceStartMs: 0, isKnownToOthers: false, isFollower: true,
			}), 'once');
			assert.equal(chooseReadMode({...started, sinceStartMs: 0, isKnownToOthers: false}), 'once');
		});

		it('should wait for its seeds for a time that differs from instance to instance', () => {
			const withSeeds: ReadSituation = {...started, hasSeeds: true, isKnownToOthers: false};
			assert.equal(chooseReadMode({...withSeeds, sinceStartMs: 29}), 'wait');
			assert.equal(chooseReadMode({...withSeeds, sinceStartMs: 30}), 'once');
			assert.equal(chooseReadMode({...withSeeds, sinceStartMs: 115, spread: 0.9}), 'wait');
			assert.equal(chooseReadMode({...withSeeds, sinceStartMs: 130, spread: 0.99}), 'once');
		});

		it('should wait longer at the first start of the whole fleet, as no caller waits yet', () => {
			const first: ReadSituation = {
				...started, hasSeeds: true, isKnownToOthers: false, isFirstStart: true,
			};
			assert.equal(chooseReadMode({...first, sinceStartMs: 1499}), 'wait');
			assert.equal(chooseReadMode({...first, sinceStartMs: 1500}), 'once');
		});

		it('should wait briefly for others to hand over the state', () => {
			assert.equal(chooseReadMode(started), 'wait');
			assert.equal(chooseReadMode({...started, sinceStartMs: 250}), 'once');
		});
	});

	it('should not follow soon after the start, as others may not have been heard yet', () => {
		assert.equal(chooseReadMode({
			...settled, isFollower: true, isKnownToOthers: false, sinceStartMs: 500,
		}), 'wait');
		assert.equal(chooseReadMode({
			...settled, isFollower: true, isKnownToOthers: false, sinceStartMs: 600,
		}), 'follow');
	});

	describe('the next poll', () => {
		it('should come at the moment at which the known state is old enough to be read again', () => {
			assert.equal(nextPollMs(settled), 950);
			assert.equal(nextPollMs({...settled, isStandby: true}), 800);
			for (const spread of [0, 0.5, 0.99]) {
				const situation = {...settled, spread};
				assert.equal(chooseReadMode({...situation, ageMs: situation.ageMs + nextPollMs(situation)}), 'once');
			}
		});

		it('should come soon while nothing is known, and when the follower may start to follow', () => {
			assert.equal(nextPollMs(started), 10);
			assert.equal(nextPollMs({
				...settled, isFollower: true, sinceStartMs: 500, ageMs: 0,
			}), 100);
		});
	});

	describe('with a known state', () => {
		it('should let one instance follow on behalf of all', () => {
			assert.equal(chooseReadMode({...settled, isFollower: true}), 'follow');
			assert.equal(chooseReadMode(settled), 'wait');
		});

		it('should let the standby read first if the state is old, so that one call serves all', () => {
			assert.equal(chooseReadMode({...settled, isStandby: true, ageMs: 1100}), 'once');
			assert.equal(chooseReadMode({...settled, ageMs: 1100}), 'wait');
		});

		it('should let the first readers of each availability zone read one after the other if the standby is gone too', () => {
			assert.equal(chooseReadMode({...settled, ageMs: 1250}), 'once');
			assert.equal(chooseReadMode({...settled, ageMs: 1250, spread: 0.9}), 'wait');
			assert.equal(chooseReadMode({...settled, ageMs: 1450, spread: 0.99}), 'once');
		});

		it('should let few try while the store is down, and all if none of these succeeds', () => {
			const instancesOfZone = 35;
			const trying = (ageMs: number) => Array.from({length: instancesOfZone}, (_, readersAheadInZone) => ({
				...settled, readersAheadInZone, ageMs, spread: readersAheadInZone / instancesOfZone,
			})).filter(situation => chooseReadMode(situation) === 'once').length;
			assert.equal(trying(5900), 4);
			assert.equal(trying(12_000), instancesOfZone);
		});

		it('should let the first readers of each availability zone retry soon, and the others seldom', () => {
			assert.deepEqual([0, 1, 9].map(failures => retryPauseMs(settled, failures)), [150, 300, 1500]);
			const otherReader = {...settled, readersAheadInZone: 30};
			assert.equal(retryPauseMs(otherReader, 0), 6000);
			assert.equal(retryPauseMs({...otherReader, isKnown: false}, 0), 150);
		});

		it('should let an instance that hears from no other read soon, as none precedes it then', () => {
			const otherReader = {...settled, readersAheadInZone: 30, ageMs: 1300};
			assert.deepEqual([chooseReadMode(otherReader), chooseReadMode({...otherReader, readersAheadInZone: 0})], ['wait', 'once']);
		});

		it('should not let the standby read while the follower does', () => {
			const heldReadMs = 700;
			const heartbeatMs = 300;
			assert.equal(chooseReadMode({...settled, isStandby: true, ageMs: heldReadMs + heartbeatMs + 50}), 'wait');
		});
	});
});
