import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import type {AvailabilityZoneId} from '../model/ids.js';
import {createRandomSource} from '../model/random-source.js';
import type {LimitMessage} from './limit-message.js';
import type {LimiterEnvironment} from './limiter-environment.js';
import {MessageCalls} from './message-calls.js';
import {MessagePaths} from './message-paths.js';
import {RelaySearch} from './relay-search.js';

const silentHost = '10.0.0.1';
/** Host numbers 2 to 10, three in each of three zones. */
const others = Array.from({length: 9}, (_, index) => `10.0.0.${index + 2}`);

class Fixture {
	readonly clock = new ManualClock();
	readonly sent: Array<{readonly message: LimitMessage; readonly to: string}> = [];
	readonly environment: LimiterEnvironment = {
		clock: this.clock,
		random: createRandomSource(1),
		host: '10.0.0.200',
		bound: () => ({windowMs: 5000, excessRatio: 0.1, slackRequests: 20}),
		limitOf: () => undefined,
		fleet: () => ({
			others,
			suspected: [silentHost],
			zoneOf: host => `zone-${others.indexOf(host) % 3}` as AvailabilityZoneId,
			instances: 11,
			isKnown: true,
			isAlone: false,
			hasHeardOthers: true,
		}),
		send: (message, to) => {
			this.sent.push({message, to});
		},
		schedule: (delayMs, action) => {
			const timer = {atMs: this.clock.monotonicMs() + delayMs, action, isCancelled: false};
			this.#timers.push(timer);
			return () => {
				timer.isCancelled = true;
			};
		},
	};

	readonly paths = new MessagePaths(this.environment);
	readonly calls: MessageCalls = new MessageCalls(this.environment, {
		paths: this.paths,
		findRelay: (host, done) => {
			this.search.begin(host, done);
		},
	});

	readonly search: RelaySearch = new RelaySearch(this.environment, this.calls, this.paths, () => false);
	readonly #timers: Array<{readonly atMs: number; readonly action: () => void; isCancelled: boolean}> = [];

	advance(durationMs: number): void {
		for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
			this.clock.advance(1);
			const due = this.#timers.filter(({atMs, isCancelled}) => !isCancelled && atMs <= this.clock.monotonicMs());
			for (const timer of due) {
				timer.isCancelled = true;
				timer.action();
			}
		}
	}

	/** Answers a probe as the instance that received it. */
	answerProbe(to: string, reached: readonly string[]): void {
		const probe = this.sent.find(each => each.to === to && each.message.type === 'limit-probe')!.message;
		assert.equal(probe.type, 'limit-probe');
		this.calls.settle(probe.sequence, to, {type: 'limit-probed', sequence: probe.sequence, reached});
	}

	get probed(): string[] {
		return this.sent.filter(({message}) => message.type === 'limit-probe').map(({to}) => to);
	}
}

describe('relay search', () => {
	it('should ask instances of each availability zone, once for all instances of one moment', () => {
		const fixture = new Fixture();
		fixture.search.begin(silentHost, () => undefined);
		fixture.search.begin('10.0.0.99', () => undefined);
		fixture.advance(2);
		assert.deepEqual(fixture.probed.toSorted(), others.toSorted());
		const {message} = fixture.sent[0]!;
		assert.deepEqual(message.type === 'limit-probe' ? message.hosts : [], [silentHost, '10.0.0.99']);
	});

	it('should use the first instance that reaches the silent one, without waiting for others', () => {
		const fixture = new Fixture();
		let isFound: boolean | undefined;
		fixture.search.begin(silentHost, found => {
			isFound = found;
		});
		fixture.advance(2);
		fixture.answerProbe(others[4]!, [silentHost]);
		assert.equal(isFound, true);
		fixture.paths.send({type: 'limit-check', sequence: 5}, silentHost);
		assert.deepEqual(fixture.sent.at(-1), {message: {type: 'limit-relay', to: silentHost, message: {type: 'limit-check', sequence: 5}}, to: others[4]});
	});

	it('should end in vain where no instance reaches it, and not be repeated at once', () => {
		const fixture = new Fixture();
		const results: unknown[] = [];
		fixture.search.begin(silentHost, found => {
			results.push(found);
		});
		fixture.advance(2);
		for (const other of others.slice(1)) {
			fixture.answerProbe(other, []);
		}

		assert.equal(results.length, 0);
		fixture.advance(150);
		assert.deepEqual(results, [false]);
		const sent = fixture.sent.length;
		fixture.search.begin(silentHost, found => {
			results.push(found);
		});
		assert.deepEqual([results, fixture.sent.length], [[false, false], sent]);
	});

	it('should check an instance once for all that ask for it at a time, and only known ones', () => {
		const fixture = new Fixture();
		const answers: Array<readonly string[]> = [];
		for (let asked = 0; asked < 3; asked++) {
			fixture.search.check([silentHost, '192.0.2.1'], reached => {
				answers.push(reached);
			});
		}

		assert.deepEqual(fixture.sent.map(({to, message}) => [to, message.type]), [[silentHost, 'limit-check']]);
		const {message} = fixture.sent[0]!;
		assert.ok(message.type === 'limit-check');
		fixture.calls.settle(message.sequence, silentHost, {type: 'limit-checked', sequence: message.sequence});
		assert.deepEqual(answers, [[silentHost], [silentHost], [silentHost]]);
	});

	it('should lead back to the direct path once it answers, and forget a relay without use', () => {
		const {clock, paths, sent} = new Fixture();
		paths.useRelay(silentHost, others[0]!);
		clock.advance(600);
		assert.deepEqual(paths.takeDueChecks(), [silentHost]);
		paths.useDirectPath(silentHost);
		paths.send({type: 'limit-check', sequence: 1}, silentHost);
		assert.equal(sent.at(-1)!.to, silentHost);
		paths.useRelay(silentHost, others[0]!);
		clock.advance(4000);
		assert.deepEqual(paths.takeDueChecks(), []);
		assert.equal(paths.hasRelay(silentHost), false);
	});
});
