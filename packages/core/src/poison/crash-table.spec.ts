import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import fc from 'fast-check';
import type {Fingerprint} from '../model/fingerprint-schema.js';
import type {ServiceId, UpstreamId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import type {CrashRecord} from './crash-record.js';
import {CrashTable} from './crash-table.js';
import {crashesBeforeRefusal} from './crash-evidence.js';
import {buildOf} from './upstream-build.js';

const request = 'request-request-reques' as Fingerprint;
const other = 'another-another-anothe' as Fingerprint;
const seed = 20_261_203;
const upstreams = Array.from({length: 9}, (_, index) => `u${index}` as UpstreamId);
const refusalMs = 60_000;
const ledger = 'ledger' as ServiceId;
const build = buildOf({service: ledger, version: 'v1'});
const otherBuild = buildOf({service: ledger, version: 'v2'});

describe('crash table', () => {
	let clock: ManualClock;
	/** The instance that owns trials. */
	let owner: CrashTable;
	let peer: CrashTable;

	beforeEach(() => {
		clock = new ManualClock();
		clock.advance(1000);
		owner = new CrashTable(clock, () => true);
		peer = new CrashTable(clock, () => false);
	});

	function share(record: CrashRecord | undefined): void {
		assert.ok(record);
		owner.receive(record);
		peer.receive(record);
	}

	function crash(count: number, from = 0): void {
		for (const upstream of upstreams.slice(from, from + count)) {
			share(owner.recordCrash(request, upstream, build));
		}
	}

	describe('a request that crashes upstreams', () => {
		it('should run until three upstreams have crashed, whoever detected the crashes', () => {
			share(peer.recordCrash(request, upstreams[0]!, build));
			share(owner.recordCrash(request, upstreams[1]!, build));
			share(peer.recordCrash(request, upstreams[1]!, build));
			assert.deepEqual([owner.decide(request, build).type, peer.decide(request, build).type], ['run', 'run']);
			share(peer.recordCrash(request, upstreams[2]!, build));
			assert.deepEqual([owner.decide(request, build), peer.decide(request, build)], [{type: 'refuse', retryAfterMs: 1000}, {type: 'refuse', retryAfterMs: 1000}]);
			assert.equal(owner.decide(other, build).type, 'run');
		});

		it('should be tried again by one instance a second after its last crash', () => {
			crash(3);
			clock.advance(1000);
			assert.deepEqual([owner.decide(request, build).type, peer.decide(request, build).type], ['trial', 'refuse']);
			share(owner.beginTrial(request, build));
			assert.equal(owner.decide(request, build).type, 'refuse');
		});

		it('should be refused for a minute if it crashes an upstream in its trial', () => {
			crash(3);
			clock.advance(1000);
			share(owner.beginTrial(request, build));
			clock.advance(40);
			crash(1, 3);
			assert.deepEqual(owner.decide(request, build), {type: 'refuse', retryAfterMs: refusalMs});
			clock.advance(refusalMs);
			assert.deepEqual([owner.decide(request, build).type, peer.decide(request, build).type], ['trial', 'refuse']);
		});

		it('should reach at most three upstreams in the two minutes that follow, though it is sent to all instances all the time', () => {
			crash(3);
			const firstMs = clock.monotonicMs();
			const trialsAtMs: number[] = [];
			while (clock.monotonicMs() < firstMs + 120_000) {
				clock.advance(10);
				for (const table of [owner, peer]) {
					if (table.decide(request, build).type === 'trial') {
						trialsAtMs.push(clock.monotonicMs() - firstMs);
						share(table.beginTrial(request, build));
						crash(1, 2 + trialsAtMs.length);
					}
				}
			}

			assert.deepEqual(trialsAtMs, [1000, 61_000]);
		});

		it('should be tried less and less often if its trials have no result', () => {
			crash(3);
			const waits: number[] = [];
			for (let trial = 0; trial < 5; trial++) {
				const startMs = clock.monotonicMs();
				while (owner.decide(request, build).type === 'refuse') {
					clock.advance(100);
				}

				waits.push(clock.monotonicMs() - startMs);
				share(owner.beginTrial(request, build));
			}

			assert.deepEqual(waits, [1000, 4000, 16_000, refusalMs, refusalMs]);
		});
	});

	describe('a request that only ran where upstreams crashed', () => {
		it('should be served by all instances as soon as one run has ended well', () => {
			crash(8);
			clock.advance(1000);
			share(owner.beginTrial(request, build));
			clock.advance(100);
			share(owner.recordSuccess(request, build, clock.monotonicMs()));
			assert.deepEqual([owner.decide(request, build), peer.decide(request, build)], [{type: 'run'}, {type: 'run'}]);
			assert.equal(owner.hasSuspects, false);
		});

		it('should not be suspected again because of reports that precede its run', () => {
			crash(3);
			const stale = peer.shared();
			clock.advance(100);
			assert.ok(owner.recordSuccess(request, build, clock.monotonicMs()));
			for (const record of stale) {
				owner.receive(record);
			}

			assert.equal(owner.decide(request, build).type, 'run');
		});

		it('should be tried by any instance two minutes after the last crash, as it may never reach the one that owns the trial', () => {
			crash(3);
			clock.advance(119_999);
			assert.equal(peer.decide(request, build).type, 'refuse');
			clock.advance(1);
			assert.equal(peer.decide(request, build).type, 'trial');
		});
	});

	describe('a request that crashes upstreams of one build alone', () => {
		beforeEach(() => {
			crash(3);
			clock.advance(10);
		});

		it('should stay refused at that build though it runs well at another one', () => {
			share(owner.recordSuccess(request, otherBuild, clock.monotonicMs()));
			assert.deepEqual([owner, peer].map(table => table.decide(request, build).type), ['refuse', 'refuse']);
			assert.deepEqual([owner, peer].map(table => table.decide(request, otherBuild).type), ['run', 'run']);
		});

		it('should be refused at another one until it has run well there', () => {
			assert.equal(peer.decide(request, otherBuild).type, 'refuse');
		});

		it('should be tried at each of them on its own, so that a failed trial at one does not delay the other', () => {
			clock.advance(1000);
			share(owner.beginTrial(request, build));
			clock.advance(40);
			crash(1, 3);
			assert.deepEqual(owner.decide(request, build), {type: 'refuse', retryAfterMs: refusalMs});
			clock.advance(1000);
			assert.equal(owner.decide(request, otherBuild).type, 'trial');
			share(owner.beginTrial(request, otherBuild));
			share(owner.recordSuccess(request, otherBuild, clock.monotonicMs()));
			assert.deepEqual(owner.decide(request, build), {type: 'refuse', retryAfterMs: refusalMs - 1000});
		});

		it('should be refused at the other one too once it crashes an upstream there', () => {
			share(owner.recordSuccess(request, otherBuild, clock.monotonicMs()));
			clock.advance(10);
			share(owner.recordCrash(request, upstreams[8]!, otherBuild));
			assert.equal(peer.decide(request, otherBuild).type, 'refuse');
		});
	});

	describe('a request that is answered with an error', () => {
		/** Runs a trial that ends with an error answer. */
		function tryWithError(): void {
			share(owner.beginTrial(request, build));
			const startedAtMs = clock.monotonicMs();
			clock.advance(10);
			share(owner.recordError(request, build, startedAtMs));
		}

		beforeEach(() => {
			crash(3);
			clock.advance(1000);
		});

		it('should not be cleared by an error answer, which an upstream may give without having run it', () => {
			assert.equal(owner.recordError(request, build, clock.monotonicMs()), undefined);
			tryWithError();
			assert.deepEqual([owner.decide(request, build).type, peer.decide(request, build).type], ['trial', 'refuse']);
		});

		it('should run again after three trials that crashed no upstream', () => {
			for (let trial = 0; trial < 3; trial++) {
				assert.equal(owner.decide(request, build).type, 'trial');
				tryWithError();
			}

			assert.deepEqual([owner.decide(request, build).type, peer.decide(request, build).type], ['run', 'run']);
		});

		it('should be refused for a minute by a crash in a later trial', () => {
			tryWithError();
			tryWithError();
			share(owner.beginTrial(request, build));
			clock.advance(10);
			crash(1, 3);
			assert.deepEqual(owner.decide(request, build), {type: 'refuse', retryAfterMs: refusalMs});
		});

		it('should be refused again by a single crash after that', () => {
			tryWithError();
			tryWithError();
			tryWithError();
			crash(1, 3);
			assert.deepEqual(owner.decide(request, build), {type: 'refuse', retryAfterMs: 1000});
			assert.equal(peer.decide(request, build).type, 'refuse');
		});
	});

	it('should not clear a request by a run that had begun before its crash', () => {
		const startedAtMs = clock.monotonicMs();
		clock.advance(10);
		crash(3);
		clock.advance(10);
		assert.equal(owner.recordSuccess(request, build, startedAtMs), undefined);
		assert.equal(owner.decide(request, build).type, 'refuse');
	});

	describe('instances that compare what they know', () => {
		const events = fc.array(fc.record({
			at: fc.integer({min: 0, max: 1}), type: fc.constantFrom('crash', 'crash', 'crash', 'success', 'trial', 'error'), upstream: fc.nat(8), isOther: fc.boolean(), isOtherBuild: fc.boolean(),
		}), {maxLength: 20});

		it('should decide alike and have the same digest once each has received the records of the other', () => {
			fc.assert(fc.property(events, all => {
				const now = new ManualClock();
				const tables = [new CrashTable(now, () => false), new CrashTable(now, () => false)] as const;
				for (const {at, type, upstream, isOther, isOtherBuild} of all) {
					now.advance(10);
					const fingerprint = isOther ? other : request;
					const ranAt = isOtherBuild ? otherBuild : build;
					const table = tables[at as 0 | 1];
					switch (type) {
						case 'crash': {
							table.recordCrash(fingerprint, `${upstream}-${now.monotonicMs()}` as UpstreamId, ranAt);
							break;
						}

						case 'trial': {
							if (table.crashesOf(fingerprint) >= crashesBeforeRefusal) {
								table.beginTrial(fingerprint, ranAt);
							}

							break;
						}

						case 'error': {
							table.recordError(fingerprint, ranAt, now.monotonicMs());
							break;
						}

						case 'success': {
							table.recordSuccess(fingerprint, ranAt, now.monotonicMs());
							break;
						}
					}
				}

				// Single crashes are announced, but not compared.
				fc.pre(tables.every(table => [request, other].every(fingerprint => table.crashesOf(fingerprint) !== 1)));
				const [left, right] = tables.map(table => table.shared());
				for (const record of right!) {
					tables[0].receive(record);
				}

				for (const record of left!) {
					tables[1].receive(record);
				}

				assert.equal(tables[0].digest, tables[1].digest);
				const decisionsOf = (table: CrashTable) => [request, other].flatMap(each => [build, otherBuild].map(ranAt => table.decide(each, ranAt)));
				assert.deepEqual(decisionsOf(tables[0]), decisionsOf(tables[1]));
			}), {seed, numRuns: 2000});
		});

		it('should have different digests while one lacks a crash', () => {
			crash(2);
			owner.recordCrash(request, upstreams[2]!, build);
			assert.notEqual(owner.digest, peer.digest);
		});

		it('should have a digest of 0 while no request was running at two crashes', () => {
			crash(1);
			assert.equal(owner.digest, 0);
			assert.deepEqual(owner.shared(), []);
		});

		it('should forget what is ten minutes old, and not learn it again', () => {
			crash(3);
			const records = peer.shared();
			clock.advance(600_001);
			assert.equal(owner.digest, 0);
			share(records[0]);
			assert.equal(owner.digest, 0);
			assert.equal(owner.hasSuspects, false);
		});

		it('should keep the requests with the most crashes if there are too many', () => {
			crash(3);
			for (let index = 0; index < 600; index++) {
				clock.advance(1);
				owner.recordCrash(String(index).padStart(22, 'f') as Fingerprint, upstreams[0]!, build);
			}

			assert.equal(owner.decide(request, build).type, 'refuse');
			assert.ok(owner.shared().length <= 32);
		});
	});
});
