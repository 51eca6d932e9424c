import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {PathState} from './path-state.js';

describe('PathState', () => {
	let clock: ManualClock;
	let path: PathState;

	beforeEach(() => {
		clock = new ManualClock();
		path = new PathState(clock);
	});

	it('should use the own link until another instance has reached the upstream', () => {
		path.recordOwnLinkFailure();
		assert.ok(!path.isRelayed);
		path.recordRelayed();
		assert.ok(path.isRelayed);
	});

	it('should let checks through others and checks of the own link take turns', () => {
		assert.ok(path.isRelayTurn);
		path.recordRelayFailure();
		assert.ok(!path.isRelayTurn);
		path.recordOwnLinkFailure();
		assert.ok(path.isRelayTurn);
	});

	describe('while relayed', () => {
		beforeEach(() => {
			path.recordRelayed();
		});

		it('should check the own link at growing intervals', () => {
			const intervalsMs: number[] = [];
			for (let check = 0; check < 6; check++) {
				const startMs = clock.monotonicMs();
				while (!path.isOwnLinkCheckDue) {
					clock.advance(50);
				}

				intervalsMs.push(clock.monotonicMs() - startMs);
				path.recordOwnLinkFailure();
			}

			assert.deepEqual(intervalsMs, [200, 200, 400, 800, 1600, 1600]);
		});

		it('should return to the own link once that has worked for a second', () => {
			path.recordOwnLinkAnswer();
			clock.advance(900);
			path.recordOwnLinkAnswer();
			assert.ok(path.isRelayed);
			clock.advance(100);
			path.recordOwnLinkAnswer();
			assert.ok(!path.isRelayed);
		});

		it('should stay relayed while the own link comes and goes', () => {
			for (let turn = 0; turn < 10; turn++) {
				path.recordOwnLinkAnswer();
				clock.advance(500);
				path.recordOwnLinkFailure();
				clock.advance(1500);
			}

			assert.ok(path.isRelayed);
		});

		it('should use the own link again where no other instance reaches the upstream', () => {
			path.recordRelayFailure();
			assert.ok(!path.isRelayed);
		});
	});
});
