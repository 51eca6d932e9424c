import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {upstreamIdSchema} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {drainSources, mergeMarks, type DrainMark} from './drain-mark.js';
import {DrainMarkSet, drainMarkDefaults} from './drain-mark-set.js';

const seed = 20_261_202;
const upstream = upstreamIdSchema.parse('ledger-01');

function setOf() {
	const clock = new ManualClock();
	return {clock, marks: new DrainMarkSet({clock, ...drainMarkDefaults})};
}

function marksAfterMerge(made: readonly DrainMark[]): DrainMark[] {
	const {marks} = setOf();
	for (const mark of made) {
		marks.merge([mark]);
	}

	return [...marks.all()].sort((a, b) => a.upstream.localeCompare(b.upstream));
}

describe('drain marks', () => {
	describe('marking', () => {
		it('should mark on the first observation and ignore later ones', () => {
			const {marks} = setOf();
			assert.equal(marks.observeMarkedAnswer(upstream)?.source, 'answer');
			assert.equal(marks.observeMarkedAnswer(upstream), undefined);
			assert.equal(marks.observeListed(upstream, 'leaving', 0), undefined);
			assert.equal(marks.isDraining(upstream), true);
		});

		it('should mark when the list first shows the upstream as leaving', () => {
			const {marks} = setOf();
			assert.equal(marks.observeListed(upstream, 'live', 0), undefined);
			assert.equal(marks.observeListed(upstream, 'leaving', 1)?.source, 'instance-list');
		});

		it('should not mark again while the list keeps showing leaving after an undrain', () => {
			const {marks} = setOf();
			marks.observeListed(upstream, 'leaving', 0);
			marks.observeUndrain(upstream, 7);
			marks.observeListed(upstream, 'leaving', 1);
			assert.equal(marks.isDraining(upstream), false);
		});

		it('should not mark by the list if a peer has already cleared the mark', () => {
			const {marks} = setOf();
			marks.merge([{
				upstream, version: 2, draining: false, source: 'operator', configurationOffset: 7,
			}]);
			assert.equal(marks.observeListed(upstream, 'leaving', 1), undefined);
		});
	});

	describe('clearing', () => {
		it('should not clear by a list that never showed the upstream as leaving', () => {
			const {marks} = setOf();
			marks.observeListed(upstream, 'live', 0);
			marks.observeMarkedAnswer(upstream);
			assert.equal(marks.observeListed(upstream, 'live', 1), undefined);
			assert.equal(marks.isDraining(upstream), true);
		});

		it('should clear once the list shows leaving and then live', () => {
			const {marks} = setOf();
			marks.observeMarkedAnswer(upstream);
			marks.observeListed(upstream, 'leaving', 1);
			assert.equal(marks.observeListed(upstream, 'live', 2)?.draining, false);
		});

		it('should clear after enough time of answers without the draining header to requests sent after the mark', () => {
			const {clock, marks} = setOf();
			clock.advance(10);
			marks.observeMarkedAnswer(upstream);
			for (let answer = 0; answer < 10; answer++) {
				clock.advance(drainMarkDefaults.cleanForMs);
				marks.observeCleanAnswer(upstream, 10);
			}

			assert.equal(marks.isDraining(upstream), true);
			marks.observeCleanAnswer(upstream, 11);
			marks.observeCleanAnswer(upstream, 12);
			clock.advance(drainMarkDefaults.cleanForMs - 1);
			marks.observeCleanAnswer(upstream, 13);
			assert.equal(marks.isDraining(upstream), true);
			clock.advance(1);
			assert.equal(marks.observeCleanAnswer(upstream, 14)?.draining, false);
		});

		it('should discard earlier answers after a failure or another marked answer', () => {
			const {clock, marks} = setOf();
			marks.observeMarkedAnswer(upstream);
			for (const interrupt of [() => marks.observeMarkedAnswer(upstream), () => {
				marks.observeFailure(upstream);
			}]) {
				marks.observeCleanAnswer(upstream, 1);
				clock.advance(drainMarkDefaults.cleanForMs);
				interrupt();
				marks.observeCleanAnswer(upstream, 2);
				marks.observeCleanAnswer(upstream, 3);
				assert.equal(marks.observeCleanAnswer(upstream, 4), undefined);
			}
		});

		it('should not clear a mark by an undrain from before the mark', () => {
			const {marks} = setOf();
			marks.setConfigurationOffset(9);
			marks.observeMarkedAnswer(upstream);
			assert.equal(marks.observeUndrain(upstream, 9), undefined);
			assert.equal(marks.observeUndrain(upstream, 10)?.source, 'operator');
		});
	});

	describe('an undrain that is known already', () => {
		const marked: DrainMark = {
			upstream, version: 1, draining: true, source: 'answer', configurationOffset: 3,
		};

		// Guards against an upstream that drains again on the report of a daemon that missed the operator's undrain.
		it('should clear a mark from before it that a peer sends later', () => {
			const {marks} = setOf();
			marks.observeUndrain(upstream, 7);
			assert.deepEqual(marks.merge([marked]).map(({draining, source, version}) => ({draining, source, version})), [{draining: false, source: 'operator', version: 2}]);
			assert.equal(marks.isDraining(upstream), false);
		});

		it('should reach the daemon that missed it', () => {
			const {marks} = setOf();
			const stale = setOf();
			stale.marks.merge([marked]);
			marks.observeUndrain(upstream, 7);
			stale.marks.merge(marks.merge(stale.marks.all()));
			assert.equal(stale.marks.isDraining(upstream), false);
		});

		it('should not clear a mark from after it', () => {
			const {marks} = setOf();
			marks.observeUndrain(upstream, 7);
			marks.merge([{...marked, configurationOffset: 7}]);
			assert.equal(marks.isDraining(upstream), true);
		});

		it('should be forgotten with the upstream', () => {
			const {marks} = setOf();
			marks.observeUndrain(upstream, 7);
			marks.retain(new Set());
			marks.merge([marked]);
			assert.equal(marks.isDraining(upstream), true);
		});
	});

	it('should remove upstreams that are no longer in the inventory and return those that were draining', () => {
		const {marks} = setOf();
		marks.observeMarkedAnswer(upstream);
		assert.deepEqual(marks.retain(new Set([upstream])), []);
		assert.deepEqual(marks.retain(new Set()), [upstream]);
		assert.equal(marks.isDraining(upstream), false);
	});

	describe('spreading', () => {
		const mark: fc.Arbitrary<DrainMark> = fc.record({
			upstream: fc.constantFrom(upstream, upstreamIdSchema.parse('ledger-02')),
			version: fc.integer({min: 1, max: 6}),
			draining: fc.boolean(),
			source: fc.constantFrom(...drainSources),
			configurationOffset: fc.nat(3),
		}, {noNullPrototype: true});

		it('should give the same marks for any order and duplication', () => {
			const shuffled = fc.array(mark, {maxLength: 20}).chain(made =>
				fc.tuple(fc.constant(made), fc.shuffledSubarray([...made, ...made], {minLength: made.length * 2})));
			const property = fc.property(shuffled, ([made, other]) => {
				assert.deepEqual(marksAfterMerge(other), marksAfterMerge(made));
			});
			fc.assert(property, {seed, numRuns: 300});
		});

		it('should be associative and commutative', () => {
			const same = mark.map(item => ({...item, upstream}));
			const property = fc.property(same, same, same, (a, b, c) => {
				assert.deepEqual(mergeMarks(mergeMarks(a, b), c), mergeMarks(a, mergeMarks(b, c)));
				assert.deepEqual(mergeMarks(a, b), mergeMarks(b, a));
			});
			fc.assert(property, {seed, numRuns: 300});
		});

		it('should keep a clearing when a daemon that was paused sends its older mark', () => {
			const {marks} = setOf();
			const paused = setOf();
			const first = marks.observeMarkedAnswer(upstream)!;
			paused.marks.merge([first]);
			marks.observeUndrain(upstream, 3);
			marks.merge(paused.marks.all());
			assert.equal(marks.isDraining(upstream), false);
			paused.marks.merge(marks.all());
			assert.equal(paused.marks.isDraining(upstream), false);
		});
	});
});
