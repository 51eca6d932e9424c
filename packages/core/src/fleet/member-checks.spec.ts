import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandomSource} from '../model/random-source.js';
import {MemberChecks} from './member-checks.js';

const hosts = Array.from({length: 10}, (_, index) => `10.0.0.${index}`);

describe('MemberChecks', () => {
	it('should ask no member if all are known to be alive', () => {
		assert.deepEqual(new MemberChecks(createRandomSource(1)).nextRound([]), {asked: [], lost: []});
	});

	it('should ask each member once before it asks any again', () => {
		const checks = new MemberChecks(createRandomSource(1));
		const asked: string[] = [];
		for (let round = 0; round < 5; round++) {
			const next = checks.nextRound(hosts);
			asked.push(...next.asked);
			for (const host of next.asked) {
				checks.heardFrom(host);
			}
		}

		assert.deepEqual(asked.toSorted(), hosts);
	});

	it('should ask the same number whatever the size of the fleet', () => {
		const many = Array.from({length: 1000}, (_, index) => `host-${index}`);
		assert.equal(new MemberChecks(createRandomSource(1)).nextRound(many).asked.length, 2);
	});

	it('should ask a fraction of a member a round on average, and more by a factor', () => {
		const checks = new MemberChecks(createRandomSource(1), 0.25);
		const rounds = Array.from({length: 8}, () => {
			const {asked} = checks.nextRound(hosts);
			for (const host of asked) {
				checks.heardFrom(host);
			}

			return asked.length;
		});
		assert.deepEqual(rounds, [0, 0, 0, 1, 0, 0, 0, 1]);
		assert.equal(checks.nextRound(hosts, 8).asked.length, 2);
	});

	it('should let some instance soon ask a member that just became unconfirmed on all, however long the queues are', () => {
		const many = Array.from({length: 100}, (_, index) => `host-${index}`);
		const rounds = Array.from({length: 60}, (_, seed) => {
			const checks = new MemberChecks(createRandomSource(seed));
			checks.nextRound(many);
			return Array.from({length: 5}, () => checks.nextRound([...many, 'silent']).asked).findIndex(asked => asked.includes('silent'));
		});
		assert.ok(rounds.some(round => round >= 0));
	});

	it('should ask three times, and then report a member as lost once', () => {
		const checks = new MemberChecks(createRandomSource(1));
		const [silent] = hosts;
		const rounds = Array.from({length: 5}, () => checks.nextRound([silent!]));
		assert.deepEqual(rounds.map(({lost}) => lost), [[], [], [], [silent], []]);
		assert.deepEqual(rounds.slice(0, 3).map(({asked}) => asked), [[silent], [silent], [silent]]);
	});

	it('should start counting again after an answer', () => {
		const checks = new MemberChecks(createRandomSource(1));
		const [member] = hosts;
		for (let round = 0; round < 10; round++) {
			assert.deepEqual(checks.nextRound([member!]).lost, []);
			if (round % 2 === 1) {
				checks.heardFrom(member!);
			}
		}
	});

	it('should discard the attempts for members that need not be asked any more', () => {
		const checks = new MemberChecks(createRandomSource(1));
		checks.nextRound(hosts.slice(0, 2));
		checks.nextRound([]);
		assert.deepEqual(checks.nextRound(hosts.slice(0, 2)).lost, []);
	});
});
