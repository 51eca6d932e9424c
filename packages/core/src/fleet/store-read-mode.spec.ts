import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	chooseReadMode, nextPollMs, retryPauseMs, type ReadSituation,
} from './store-read-mode.js';

const settled: ReadSituation = {
	isFollower: false, isDeputy: false, readersAheadInZone: 0, isKnown: true, isKnownToOthers: true, hasSeeds: false, isFirstStart: false, sinceStartMs: 60_000, ageMs: 300, spread: 0,
};

const started: ReadSituation = {
	...settled, isKnown: false, ageMs: Number.POSITIVE_INFINITY, sinceStartMs: 50,
};

describe('chooseReading', () => {
	describe('after the start', () => {
		it('should read at once where nobody is known to know more', () => {
			assert.equal(chooseReadMode({
				...started, sinceStartMs: 0, isKnownToOthers: false, isFollower: true,
			}), 'once');
			assert.equal(chooseReadMode({...started, sinceStartMs: 0, isKnownToOthers: false}), 'once');
		});

		it('should wait to be heard where others were named to it, for a moment that differs from instance to instance', () => {
			const told: ReadSituation = {...started, hasSeeds: true, isKnownToOthers: false};
			assert.equal(chooseReadMode({...told, sinceStartMs: 29}), 'wait');
			assert.equal(chooseReadMode({...told, sinceStartMs: 30}), 'once');
			assert.equal(chooseReadMode({...told, sinceStartMs: 115, spread: 0.9}), 'wait');
			assert.equal(chooseReadMode({...told, sinceStartMs: 130, spread: 0.99}), 'once');
		});

		it('should wait longer at the first start of the whole fleet, as no caller waits yet', () => {
			const first: ReadSituation = {
				...started, hasSeeds: true, isKnownToOthers: false, isFirstStart: true,
			};
			assert.equal(chooseReadMode({...first, sinceStartMs: 1499}), 'wait');
			assert.equal(chooseReadMode({...first, sinceStartMs: 1500}), 'once');
		});

		it('should wait for others to hand over what they know, but not for long', () => {
			assert.equal(chooseReadMode(started), 'wait');
			assert.equal(chooseReadMode({...started, sinceStartMs: 250}), 'once');
		});
	});

	it('should follow nothing soon after the start, as others may not have been heard yet', () => {
		assert.equal(chooseReadMode({
			...settled, isFollower: true, isKnownToOthers: false, sinceStartMs: 500,
		}), 'wait');
		assert.equal(chooseReadMode({
			...settled, isFollower: true, isKnownToOthers: false, sinceStartMs: 600,
		}), 'follow');
	});

	describe('the next look', () => {
		it('should come at the moment at which what is known is old enough to be read', () => {
			assert.equal(nextPollMs(settled), 950);
			assert.equal(nextPollMs({...settled, isDeputy: true}), 800);
			for (const spread of [0, 0.5, 0.99]) {
				const situation = {...settled, spread};
				assert.equal(chooseReadMode({...situation, ageMs: situation.ageMs + nextPollMs(situation)}), 'once');
			}
		});

		it('should come soon while nothing is known, and as soon as the follower may follow', () => {
			assert.equal(nextPollMs(started), 10);
			assert.equal(nextPollMs({
				...settled, isFollower: true, sinceStartMs: 500, ageMs: 0,
			}), 100);
		});
	});

	describe('of what is known', () => {
		it('should be followed by one on behalf of all', () => {
			assert.equal(chooseReadMode({...settled, isFollower: true}), 'follow');
			assert.equal(chooseReadMode(settled), 'wait');
		});

		it('should be read by the deputy first where it grows old, so that one call does for all', () => {
			assert.equal(chooseReadMode({...settled, isDeputy: true, ageMs: 1100}), 'once');
			assert.equal(chooseReadMode({...settled, ageMs: 1100}), 'wait');
		});

		it('should be read by the first of each availability zone, one after the other, where the deputy is gone too', () => {
			assert.equal(chooseReadMode({...settled, ageMs: 1250}), 'once');
			assert.equal(chooseReadMode({...settled, ageMs: 1250, spread: 0.9}), 'wait');
			assert.equal(chooseReadMode({...settled, ageMs: 1450, spread: 0.99}), 'once');
		});

		it('should be tried by few while the store is down, and by all where none of these brings anything', () => {
			const instancesOfZone = 35;
			const trying = (ageMs: number) => Array.from({length: instancesOfZone}, (_, readersAheadInZone) => ({
				...settled, readersAheadInZone, ageMs, spread: readersAheadInZone / instancesOfZone,
			})).filter(situation => chooseReadMode(situation) === 'once').length;
			assert.equal(trying(5900), 4);
			assert.equal(trying(12_000), instancesOfZone);
		});

		it('should be tried again soon by the first of each availability zone, and seldom by the others', () => {
			assert.deepEqual([0, 1, 9].map(failures => retryPauseMs(settled, failures)), [150, 300, 1500]);
			const last = {...settled, readersAheadInZone: 30};
			assert.equal(retryPauseMs(last, 0), 6000);
			assert.equal(retryPauseMs({...last, isKnown: false}, 0), 150);
		});

		it('should be read soon by an instance that hears nobody, as it comes first then', () => {
			const last = {...settled, readersAheadInZone: 30, ageMs: 1300};
			assert.deepEqual([chooseReadMode(last), chooseReadMode({...last, readersAheadInZone: 0})], ['wait', 'once']);
		});

		it('should be followed with no regular read by the deputy while the follower reads', () => {
			const heldReadMs = 700;
			const heartbeatMs = 300;
			assert.equal(chooseReadMode({...settled, isDeputy: true, ageMs: heldReadMs + heartbeatMs + 50}), 'wait');
		});
	});
});
