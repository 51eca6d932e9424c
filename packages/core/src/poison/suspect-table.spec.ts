import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {beforeEach, describe, it} from 'node:test';
import fc from 'fast-check';
import {instanceIdSchema, serviceIdSchema, upstreamIdSchema} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {fingerprintOf} from '../model/request-fingerprint.js';
import {mergeSuspects} from './merge-suspects.js';
import {defaultPoisonSettings} from './poison-settings.js';
import type {Suspect} from './suspect.js';
import {SuspectTable} from './suspect-table.js';

const trialMs = 4000;
const seed = 20_260_104;
const upstreams = ['a', 'b', 'c', 'd'].map(id => upstreamIdSchema.parse(id));
const [first, second, third] = upstreams as [typeof upstreams[0], typeof upstreams[0], typeof upstreams[0]];
const service = serviceIdSchema.parse('ledger');

function fingerprint(path: string) {
	return fingerprintOf({
		service, method: 'GET', path, body: undefined,
	});
}

const poison = fingerprint('/poison');

describe('suspect table', () => {
	let clock: ManualClock;
	let table: SuspectTable;
	let peer: SuspectTable;

	beforeEach(() => {
		clock = new ManualClock();
		table = new SuspectTable(clock, instanceIdSchema.parse('entry-1'));
		peer = new SuspectTable(clock, instanceIdSchema.parse('entry-2'));
	});

	describe('one crash', () => {
		it('should allow one trial at a time across all instances', () => {
			peer.merge([table.recordCrash(poison, first)]);
			assert.deepEqual(peer.decide(poison), {type: 'trial'});
			table.merge([peer.beginTrial(poison, second, trialMs)]);
			assert.equal(table.decide(poison).type, 'await-trial');
			assert.equal(peer.decide(poison).type, 'await-trial');
			assert.deepEqual([...table.upstreamsWithTrial()], [second]);
		});

		it('should count once if several instances report it or one instance reports it twice', () => {
			table.recordCrash(poison, first);
			clock.advance(400);
			table.merge([peer.recordCrash(poison, first)]);
			assert.deepEqual(table.decide(poison), {type: 'trial'});
		});

		it('should be cleared on all instances by a successful run', () => {
			peer.merge([table.recordCrash(poison, first)]);
			clock.advance(5);
			peer.beginTrial(poison, second, trialMs);
			table.merge([peer.recordSuccess(poison)!]);
			assert.deepEqual(table.decide(poison), {type: 'run'});
			assert.deepEqual(peer.decide(poison), {type: 'run'});
			assert.deepEqual([table.hasActiveSuspects, peer.hasActiveSuspects], [false, false]);
		});

		it('should allow the next trial after an inconclusive one', () => {
			peer.merge([table.recordCrash(poison, first)]);
			table.merge([peer.beginTrial(poison, second, trialMs)]);
			clock.advance(3);
			table.merge([peer.endTrial(poison)!]);
			assert.deepEqual(table.decide(poison), {type: 'trial'});
			clock.advance(1);
			peer.merge([table.beginTrial(poison, third, trialMs)]);
			peer.merge([peer.mostSuspicious(1)[0]!]);
			assert.equal(peer.decide(poison).type, 'await-trial');
		});

		it('should allow the next trial after one is considered lost', () => {
			peer.merge([table.recordCrash(poison, first), table.beginTrial(poison, second, trialMs)]);
			clock.advance(trialMs + 1);
			assert.deepEqual(peer.decide(poison), {type: 'trial'});
		});
	});

	describe('two crashes', () => {
		it('should refuse the request for the refusal time and then allow one trial', () => {
			table.recordCrash(poison, first);
			clock.advance(10);
			peer.merge([table.recordCrash(poison, second)]);
			assert.deepEqual(peer.decide(poison), {type: 'refuse', retryAfterMs: defaultPoisonSettings.refusalMs});
			clock.advance(defaultPoisonSettings.refusalMs);
			assert.deepEqual(peer.decide(poison), {type: 'trial'});
			peer.recordCrash(poison, third);
			assert.equal(peer.decide(poison).type, 'refuse');
		});

		it('should refuse the request if one upstream restarted and crashed again', () => {
			table.recordCrash(poison, first);
			clock.advance(30_000);
			table.recordCrash(poison, first);
			assert.equal(table.decide(poison).type, 'refuse');
		});

		it('should not affect other requests', () => {
			table.recordCrash(poison, first);
			table.recordCrash(poison, second);
			assert.deepEqual(table.decide(fingerprint('/balance')), {type: 'run'});
		});
	});

	it('should limit the duration of a trial to the settings', () => {
		table.recordCrash(poison, first);
		table.beginTrial(poison, second, Number.MAX_SAFE_INTEGER);
		assert.deepEqual(table.decide(poison), {type: 'await-trial', waitMs: defaultPoisonSettings.maximumTrialMs});
	});

	it('should not let a clock that runs ahead prolong the refusal', () => {
		const aheadClock = new ManualClock(new Date(clock.now().getTime() + 3_600_000));
		const aheadTable = new SuspectTable(aheadClock, instanceIdSchema.parse('entry-3'));
		aheadTable.recordCrash(poison, first);
		table.merge([aheadTable.recordCrash(poison, second)]);
		assert.deepEqual(table.decide(poison), {type: 'refuse', retryAfterMs: defaultPoisonSettings.refusalMs});
	});

	it('should stay within its maximum size and keep the most suspicious', () => {
		const small = new SuspectTable(clock, instanceIdSchema.parse('entry-1'), {...defaultPoisonSettings, maximumSuspects: 3});
		small.recordCrash(poison, first);
		small.recordCrash(poison, second);
		for (let index = 0; index < 10; index += 1) {
			clock.advance(1);
			small.recordCrash(fingerprint(`/innocent/${index}`), first);
		}

		assert.equal(small.size, 3);
		assert.equal(small.decide(poison).type, 'refuse');
	});

	it('should remove suspects after their retention time', () => {
		table.recordCrash(poison, first);
		clock.advance(defaultPoisonSettings.suspectRetentionMs + 1);
		assert.equal(table.hasActiveSuspects, true);
		assert.deepEqual(table.mostSuspicious(8), []);
		assert.equal(table.hasActiveSuspects, false);
	});
});

describe('merge of suspects', () => {
	const time = fc.integer({min: 0, max: 5000});
	const crash = fc.record({upstream: fc.constantFrom(...upstreams), atMs: time});
	const trial = fc.record({
		instance: fc.constantFrom('entry-1', 'entry-2').map(id => instanceIdSchema.parse(id)),
		upstream: fc.constantFrom(...upstreams),
		startedAtMs: time,
		untilMs: time,
	});
	const suspectRecord: fc.Arbitrary<Suspect> = fc.record({
		fingerprint: fc.constant(poison),
		crashes: fc.array(crash, {maxLength: 6}),
		clearedAtMs: time,
		trial,
	}).map(suspect => mergeSuspects(suspect, suspect));

	it('should not depend on order, grouping or repetition', () => {
		fc.assert(fc.property(suspectRecord, suspectRecord, suspectRecord, (left, middle, right) => {
			assert.deepEqual(mergeSuspects(left, right), mergeSuspects(right, left));
			assert.deepEqual(mergeSuspects(left, left), left);
			assert.deepEqual(
				mergeSuspects(mergeSuspects(left, middle), right),
				mergeSuspects(left, mergeSuspects(middle, right)),
			);
		}), {seed});
	});
});

describe('fingerprint', () => {
	it('should differ for a different service, method, path or body', () => {
		const base = {
			service, method: 'POST', path: '/a', body: Buffer.from('x'),
		};
		const others = [{...base, service: serviceIdSchema.parse('l')}, {...base, method: 'PUT'}, {...base, path: '/b'}, {...base, body: undefined}];
		const all = [base, ...others].map(request => fingerprintOf(request));
		assert.equal(new Set(all).size, all.length);
		assert.equal(fingerprintOf({...base, body: Buffer.from('x')}), all[0]);
	});
});
