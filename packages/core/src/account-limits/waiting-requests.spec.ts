import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import type {ClientAccountId} from '../model/ids.js';
import {createRandomSource} from '../model/random-source.js';
import type {LimitAnswer} from './limit-message.js';
import {WaitingRequests} from './waiting-requests.js';

const shop = 'shop' as ClientAccountId;
const limit = {requestsPerSecond: 10, burst: 10};

class Fixture {
	readonly clock = new ManualClock();
	readonly asked: number[] = [];
	readonly results: string[] = [];
	isAlone = false;
	scheduled = 0;
	readonly waiting = new WaitingRequests({
		clock: this.clock,
		random: createRandomSource(1),
		fleet: () => ({
			others: [], suspected: [], zoneOf: () => undefined, instances: 2, isKnown: false, isAlone: this.isAlone, hasHeardOthers: false,
		}),
		schedule: () => {
			this.scheduled += 1;
			return () => undefined;
		},
	}, (_account, count, done) => {
		this.asked.push(count);
		this.answer = done;
	});

	answer: (answer: LimitAnswer | undefined) => void = () => undefined;

	request(): void {
		this.waiting.add(shop, limit, ({type}) => {
			this.results.push(type);
		});
	}
}

function answerOf(granted: number, isCertain = true): LimitAnswer {
	return {
		granted, tokenInMs: 100, retryAfterMs: 200, isCertain,
	};
}

describe('requests that wait for tokens', () => {
	it('should be covered by one question at a time', () => {
		const fixture = new Fixture();
		for (let index = 0; index < 4; index++) {
			fixture.request();
		}

		fixture.answer(answerOf(1));
		fixture.answer(answerOf(3));
		assert.deepEqual(fixture.asked, [1, 3]);
		assert.deepEqual(fixture.results, ['granted', 'granted', 'granted', 'granted']);
	});

	it('should be refused without a question until the next token is there', () => {
		const fixture = new Fixture();
		fixture.request();
		fixture.answer(answerOf(0));
		fixture.request();
		assert.deepEqual(fixture.results, ['limited', 'limited']);
		fixture.clock.advance(100);
		fixture.request();
		assert.deepEqual(fixture.asked, [1, 1]);
	});

	it('should not be told that the account is over its limit by an instance that knows only a part of the fleet', () => {
		const fixture = new Fixture();
		fixture.request();
		fixture.answer(answerOf(0, false));
		assert.deepEqual(fixture.results, ['unknown']);
	});

	it('should be asked for again while no instance decides, and refused at once where nobody can be asked', () => {
		const fixture = new Fixture();
		fixture.request();
		fixture.answer(undefined);
		assert.deepEqual([fixture.results, fixture.scheduled], [[], 1]);
		const lone = new Fixture();
		lone.isAlone = true;
		lone.request();
		lone.answer(undefined);
		assert.deepEqual([lone.results, lone.scheduled], [['unknown'], 0]);
	});

	it('should be asked for again at once after the limit was changed', () => {
		const fixture = new Fixture();
		fixture.request();
		fixture.answer(answerOf(0));
		fixture.waiting.add(shop, {requestsPerSecond: 100, burst: 100}, () => undefined);
		assert.deepEqual(fixture.asked, [1, 1]);
	});
});
