import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RunEnd} from '@cairnbank/platform/spec-support/upstream-stand-in';
import {checks} from './all-checks.js';
import type {
	CallEnd, CallRecord, Disturbance, History, RunRecord, StopRecord,
} from './history.js';

const answered = (status: number, upstream = 'u0', path = '/read/1', requestId = 'a'): CallEnd => ({
	type: 'answered', status, requestId, signature: `signed-by-${upstream}`, body: `${upstream} ran GET ${path}`,
});

const call = (end: CallEnd, overrides: Partial<CallRecord> = {}): CallRecord => ({
	id: 'a', method: 'GET', path: '/read/1', idempotent: true, instance: '127.0.0.2', sentAtMs: 0, endedAtMs: 10, end, ...overrides,
});

const run = (upstream = 'u0', atMs = 5, id = 'a'): RunRecord => ({id, upstream, atMs});

const validHistory: History = {
	calls: [call(answered(200))], runs: [run()], disturbances: [], lags: [], arrivals: [], backOffs: [], drains: [], limits: [], leavings: [], stops: [], cuts: [],
	crashes: [], accounts: [], floods: [], limitLoweredAtMs: Number.POSITIVE_INFINITY, accountArrivals: [], afterwards: [], memory: [],
};

const stop: StopRecord = {
	instance: '127.0.0.2', exitCode: 0, wasKilled: false, graceMs: 2000, errors: [], signalledAtMs: 0, endedAtMs: 2000,
};

/** A request that was sent whole while its instance stopped, and not answered. */
const unanswered = (overrides: Partial<CallRecord> = {}): CallRecord => call({type: 'cut'}, {
	sentAtMs: 283, sent: {connection: 'c#0', lastByteAtMs: 283}, endedAtMs: 1910, ...overrides,
});

/** A request that was running when its instance was told to stop, and got an answer of the instance. */
const brokenOff = (overrides: Partial<CallRecord> = {}): CallRecord => call({
	type: 'answered', status: 504, requestId: 'a', signature: '', body: '',
}, {sentAtMs: -100, endedAtMs: 20, ...overrides});

const runThatEnds = (type: RunEnd['type'], atMs: number): RunRecord => ({...run(), end: {type, atMs}});

/** Histories with one breach each, by the name of the check that should notice it. */
const breachingHistories: Readonly<Record<string, Partial<History>>> = {
	'a request that is not idempotent runs at most once': {calls: [call(answered(200), {idempotent: false})], runs: [run('u0'), run('u1')]},
	'a request reported as not run never runs': {calls: [call(answered(503))]},
	'a success is the whole answer of an upstream that ran this very request': {calls: [call(answered(200, 'u0', '/read/2'))]},
	'a request runs on no more upstreams than its route allows': {runs: [run('u0'), run('u1'), run('u2')]},
	'repeats stay within the budget of all instances in each window': {arrivals: Array.from({length: 60}, (_, index) => ({id: 'a', upstream: 'u0', atMs: index}))},
	'a leaving upstream gets nothing new after its time to drain': {drains: [{upstream: 'u0', atMs: 0}], runs: [run(), run('u0', 2001, 'b')]},
	'an upstream that advertises a rate limit gets no more from all instances together': {
		limits: [{
			upstream: 'u0', requestsPerSecond: 1, fromMs: 0, untilMs: 9000,
		}],
		runs: [run(), ...Array.from({length: 12}, (_, index) => run('u0', 4000 + index, `b${index}`))],
	},
	'an upstream gets nothing new from an instance that has passed on that it leaves, after its time to drain': {
		leavings: [{upstream: 'u0', atMs: 0}],
		calls: [call(answered(200)), call(answered(200, 'u0', '/read/1', 'b'), {id: 'b', sentAtMs: 2011, endedAtMs: 2020})],
		runs: [run(), run('u0', 2015, 'b')],
	},
	'an upstream that asks an instance to back off gets next to nothing from it in that time': {
		calls: ['a', 'b', 'c', 'd'].map(id => call(answered(200, 'u1', '/read/1', id), {id})),
		runs: ['a', 'b', 'c', 'd'].map(id => run('u1', 5, id)),
		arrivals: ['b', 'c', 'd'].map(id => ({id, upstream: 'u0', atMs: 2000})),
		backOffs: [{
			id: 'a', upstream: 'u0', atMs: 100, durationMs: 3000,
		}],
	},
	'no request that ran is cut at an instance that was neither killed nor paused': {calls: [call({type: 'cut'})]},
	'a request that comes after SIGTERM is refused or gets the answer of its upstream': {
		calls: [call(answered(504), {sentAtMs: 100, endedAtMs: 1800})],
		stops: [{
			instance: '127.0.0.2', exitCode: 0, wasKilled: false, graceMs: 2000, errors: [], signalledAtMs: 0, endedAtMs: 2000,
		}],
	},
	'a request that crashes upstreams reaches next to none once three have crashed': {
		crashes: [{
			calls: [call(answered(502), {id: 'x'})], harmlessCalls: [], runs: [0, 1, 2, 4000, 5000, 6000, 7000].map((atMs, index) => run(`u${index}`, atMs, 'x')),
		}],
	},
	'a harmless request is served beside one that crashes upstreams, once that one is refused': {
		crashes: [{
			calls: [], harmlessCalls: [4000, 5000].map(sentAtMs => call(answered(503), {sentAtMs, endedAtMs: sentAtMs + 10})), runs: [run('u0', 5, 'x')],
		}],
	},
	'instances without links to upstreams serve callers through others': {
		cuts: [{instances: ['127.0.0.2'], fromMs: 0, untilMs: 9000}],
		calls: [
			call(answered(200, 'u0', '/read/1', 'b'), {
				id: 'b', instance: '127.0.0.3', sentAtMs: 4000, endedAtMs: 4010,
			}),
			...Array.from({length: 12}, () => call(answered(502), {sentAtMs: 4000, endedAtMs: 4010})),
		],
		runs: [run('u0', 4005, 'b')],
	},
	'an instance that gets SIGTERM ends in order': {
		stops: [{
			instance: '127.0.0.2', exitCode: 1, wasKilled: false, graceMs: 2000, errors: [], signalledAtMs: 0, endedAtMs: 2000,
		}],
	},
	'everything is served again after the last fault': {afterwards: [call(answered(504))]},
	'a request runs only under the account of its key, and its key reaches no upstream': {
		accounts: [{calls: [{record: call(answered(200)), account: 'shop', usesRemovedKey: false}], removedAtMs: 0}],
		accountArrivals: [{
			id: 'a', upstream: 'u0', atMs: 5, accounts: ['forged', 'shop'], hasKey: false,
		}],
	},
	'no request reaches an upstream later than the bound after its key was taken away': {
		accounts: [{calls: [{record: call(answered(200)), account: 'shop', usesRemovedKey: true}], removedAtMs: 0}],
		accountArrivals: [{
			id: 'a', upstream: 'u0', atMs: 5001, accounts: ['shop'], hasKey: false,
		}],
	},
	'an account with a rate limit runs no more than its bound in any 5 s, by all instances together': {
		floods: [{calls: Array.from({length: 285}, (_, index) => ({record: call(answered(200), {id: `f${index}`}), isFlooding: true}))}],
		runs: [run(), ...Array.from({length: 285}, (_, index) => run('u0', index * 17, `f${index}`))],
	},
	'an account below its rate limit is never told that it is over it': {
		floods: [{calls: [{record: call(answered(429)), isFlooding: false}, {record: call(answered(429)), isFlooding: true}]}],
	},
	'a request that was sent whole to a stopping instance is answered or refused, or its connection ends within 0.2 s': {
		calls: [unanswered()], runs: [], stops: [stop],
	},
	'a request that runs gets the whole answer of its upstream, though its instance stops': {
		calls: [brokenOff()], runs: [runThatEnds('dropped', 20)], stops: [stop],
	},
	'an instance stays within the memory of its machine beside callers that do not behave': {memory: [{instance: '127.0.0.2', peakMegabytes: 350}, {instance: '127.0.0.3', peakMegabytes: 351}]},
};

function breachedChecks(history: History): string[] {
	return checks.filter(check => check.findBreaches(history).length > 0).map(({name}) => name);
}

describe('checks of the soak', () => {
	it('should find no breach in a valid history', () => {
		assert.deepEqual(breachedChecks(validHistory), []);
	});

	it('should know the instances of requests of a flooded account that ask an upstream for a back-off', () => {
		const flooding = ['a', 'b', 'c', 'd'].map((id, index) => ({record: call(answered(503), {id, instance: `127.0.0.${2 + index}`}), isFlooding: true}));
		const backOffs = [{
			id: 'a', upstream: 'u0', atMs: 100, durationMs: 3000,
		}];
		const arrivals = ['b', 'c', 'd'].map(id => ({id, upstream: 'u0', atMs: 2000}));
		assert.deepEqual(breachedChecks({
			...validHistory, floods: [{calls: flooding}], backOffs, arrivals,
		}), []);
		const ofOneInstance = flooding.map(({record, isFlooding}) => ({record: {...record, instance: '127.0.0.2'}, isFlooding}));
		assert.deepEqual(breachedChecks({
			...validHistory, floods: [{calls: ofOneInstance}], backOffs, arrivals,
		}), ['an upstream that asks an instance to back off gets next to nothing from it in that time']);
	});

	it('should each have a history with a breach that only it notices', () => {
		assert.deepEqual(checks.map(({name}) => name), Object.keys(breachingHistories));
	});

	for (const [name, change] of Object.entries(breachingHistories)) {
		it(`should notice a breach of: ${name}`, () => {
			assert.deepEqual(breachedChecks({...validHistory, ...change}), [name]);
		});
	}

	it('should ignore a cut request whose answer a silenced link held back', () => {
		const disturbances = [{kind: 'link' as const, fromMs: 6, untilMs: 20}];
		assert.deepEqual(breachedChecks({...validHistory, disturbances, calls: [call({type: 'cut'})]}), []);
		assert.notDeepEqual(breachedChecks({...validHistory, disturbances: [{...disturbances[0]!, fromMs: 11}], calls: [call({type: 'cut'})]}), []);
	});

	describe('of whole requests to a stopping instance', () => {
		const name = 'a request that was sent whole to a stopping instance is answered or refused, or its connection ends within 0.2 s';
		const breaches = (change: Partial<History>) => breachedChecks({
			...validHistory, runs: [], stops: [stop], ...change,
		});

		it('should notice one that was sent before the signal', () => {
			assert.deepEqual(breaches({calls: [unanswered({sentAtMs: -1000, sent: {connection: 'c#0', lastByteAtMs: -1000}})]}), [name]);
		});

		it('should notice one whose connection ends a moment more than 0.2 s after its last byte, and none that ends before', () => {
			assert.deepEqual(breaches({calls: [unanswered({endedAtMs: 484})]}), [name]);
			assert.deepEqual(breaches({calls: [unanswered({endedAtMs: 483})]}), []);
		});

		it('should count from the last byte', () => {
			assert.deepEqual(breaches({calls: [unanswered({sent: {connection: 'c#0', lastByteAtMs: 1800}})]}), []);
		});

		it('should notice a crashing request and a harmless one beside it', () => {
			const crash = {calls: [], harmlessCalls: [], runs: []};
			assert.deepEqual(breaches({calls: [], crashes: [{...crash, calls: [unanswered()]}]}), [name]);
			assert.ok(breaches({calls: [], crashes: [{...crash, harmlessCalls: [unanswered()]}]}).includes(name));
		});

		it('should ignore one that was not sent whole, whose caller left, or whose deadline had passed', () => {
			const {sent, ...notWhole} = unanswered();
			assert.ok(sent !== undefined);
			assert.deepEqual(breaches({calls: [notWhole]}), []);
			assert.deepEqual(breaches({calls: [unanswered({end: {type: 'left'}})]}), []);
			assert.deepEqual(breaches({calls: [unanswered({sentAtMs: -2090})]}), []);
			assert.deepEqual(breaches({calls: [unanswered({sentAtMs: -2089})]}), [name]);
		});

		it('should ignore one at an instance that was killed, or paused meanwhile', () => {
			assert.deepEqual(breaches({calls: [unanswered()], stops: [{...stop, wasKilled: true}]}), []);
			const paused = {
				kind: 'instance' as const, instance: '127.0.0.2', fromMs: 300, untilMs: 400,
			};
			assert.deepEqual(breaches({calls: [unanswered()], disturbances: [paused]}), []);
			assert.deepEqual(breaches({calls: [unanswered()], disturbances: [{...paused, fromMs: 100, untilMs: 200}]}), [name]);
			assert.deepEqual(breaches({calls: [unanswered()], disturbances: [{...paused, instance: '127.0.0.3'}]}), [name]);
		});

		it('should ignore one at an instance that does not stop at that time', () => {
			assert.deepEqual(breaches({calls: [unanswered({instance: '127.0.0.3'})]}), []);
			assert.deepEqual(breaches({calls: [unanswered({endedAtMs: -1, sentAtMs: -500, sent: {connection: 'c#0', lastByteAtMs: -500}})]}), []);
		});

		it('should not count time in which the process of the soak did not run', () => {
			const call = unanswered({endedAtMs: 683});
			assert.deepEqual(breaches({calls: [call], lags: [{fromMs: 400, untilMs: 600}]}), []);
			assert.deepEqual(breaches({calls: [call], lags: [{fromMs: 400, untilMs: 599}]}), [name]);
			assert.deepEqual(breaches({calls: [call], lags: [{fromMs: 100, untilMs: 300}, {fromMs: 600, untilMs: 800}]}), [name]);
		});
	});

	describe('of requests that run while their instance stops', () => {
		const name = 'a request that runs gets the whole answer of its upstream, though its instance stops';
		const breaches = (change: Partial<History>) => breachedChecks({
			...validHistory, calls: [brokenOff()], runs: [runThatEnds('dropped', 20)], stops: [stop], ...change,
		});

		it('should notice a lost answer, whether its connection ends, its caller waits in vain, or it is told another outcome', () => {
			const runs = [runThatEnds('answered', 15)];
			assert.deepEqual(breaches({runs}), [name]);
			assert.ok(breaches({runs, calls: [brokenOff({end: {type: 'cut'}})]}).includes(name));
			assert.ok(breaches({runs, calls: [brokenOff({end: {type: 'left'}})]}).includes(name));
			assert.deepEqual(breaches({runs, calls: [brokenOff({end: answered(500)})]}), []);
			assert.deepEqual(breaches({runs: []}), []);
		});

		it('should ignore one whose caller has left at the time that it had set itself, and notice one that has left before', () => {
			const runs = [runThatEnds('dropped', 15)];
			const [left] = [brokenOff({end: {type: 'left'}})];
			const waitedMs = left.endedAtMs - left.sentAtMs;
			assert.equal(breaches({runs, calls: [{...left, leavesAfterMs: waitedMs}]}).includes(name), false);
			assert.equal(breaches({runs, calls: [{...left, leavesAfterMs: waitedMs + 2}]}).includes(name), true);
			assert.equal(breaches({runs, calls: [{...left, end: {type: 'cut'}, leavesAfterMs: waitedMs}]}).includes(name), true);
		});

		it('should notice one up to 1 s after the grace period, and none before the signal', () => {
			assert.deepEqual(breaches({calls: [brokenOff({sentAtMs: 3000, endedAtMs: 3010})]}), [name]);
			assert.deepEqual(breaches({calls: [brokenOff({sentAtMs: 3001, endedAtMs: 3010})]}), []);
			assert.deepEqual(breaches({calls: [brokenOff({endedAtMs: -1})]}), []);
			assert.deepEqual(breaches({calls: [brokenOff({instance: '127.0.0.3'})]}), []);
		});

		it('should excuse work in the last sixth of the grace period on a request of its first half, and no other', () => {
			const atWork = [runThatEnds('dropped', 1700)];
			assert.ok(!breaches({runs: atWork, calls: [brokenOff({sentAtMs: 1000, endedAtMs: 1700})]}).includes(name));
			assert.ok(breaches({runs: atWork, calls: [brokenOff({sentAtMs: 1001, endedAtMs: 1700})]}).includes(name));
			assert.ok(breaches({runs: [runThatEnds('dropped', 1666)], calls: [brokenOff({sentAtMs: 1000, endedAtMs: 1666})]}).includes(name));
			assert.deepEqual(breaches({runs: [run()], calls: [brokenOff({sentAtMs: -100, endedAtMs: 1700})]}), []);
		});

		it('should excuse an upstream that breaks off and a deadline that was reached', () => {
			assert.deepEqual(breaches({runs: [runThatEnds('breaks-off', 15)]}), []);
			assert.deepEqual(breaches({calls: [brokenOff({deadlineMs: 120})]}), []);
			assert.deepEqual(breaches({calls: [brokenOff({deadlineMs: 121})]}), [name]);
		});

		it('should excuse a kill or a pause of the instance, its lost links, and a link of the upstream, up to 3 s after them', () => {
			const disturbance = (change: Partial<Disturbance>): Pick<History, 'disturbances'> => ({
				disturbances: [{
					kind: 'instance', instance: '127.0.0.2', fromMs: -4000, untilMs: -3100, ...change,
				}],
			});
			assert.deepEqual(breaches(disturbance({})), []);
			assert.deepEqual(breaches(disturbance({untilMs: -3101})), [name]);
			assert.deepEqual(breaches(disturbance({instance: '127.0.0.3'})), [name]);
			assert.deepEqual(breaches(disturbance({kind: 'store'})), [name]);
			assert.deepEqual(breaches({
				disturbances: [{
					kind: 'link', upstream: 'u0', fromMs: 0, untilMs: 10,
				}],
			}), []);
			assert.deepEqual(breaches({
				disturbances: [{
					kind: 'link', upstream: 'u1', fromMs: 0, untilMs: 10,
				}],
			}), [name]);
			assert.deepEqual(breaches({cuts: [{instances: ['127.0.0.2'], fromMs: 0, untilMs: 10}]}), []);
		});

		it('should excuse a late answer by a stall of the callers and upstreams, but no closed connection', () => {
			const disturbances = [{kind: 'stall' as const, fromMs: -50, untilMs: 10}];
			assert.deepEqual(breaches({disturbances}), []);
			assert.ok(breaches({disturbances, calls: [brokenOff({end: {type: 'cut'}})]}).includes(name));
		});
	});

	it('should notice a key that reaches an upstream', () => {
		const name = 'a request runs only under the account of its key, and its key reaches no upstream';
		const {accounts, accountArrivals} = breachingHistories[name]!;
		const arrival = {...accountArrivals![0]!, accounts: ['shop']};
		assert.deepEqual(breachedChecks({...validHistory, accounts: accounts!, accountArrivals: [arrival]}), []);
		assert.deepEqual(breachedChecks({...validHistory, accounts: accounts!, accountArrivals: [{...arrival, hasKey: true}]}), [name]);
	});

	it('should report a request whose caller gave up without an answer, unless the process of the caller stalled', () => {
		const calls = [call({type: 'left'})];
		assert.equal(breachedChecks({...validHistory, calls}).length, 1);
		assert.deepEqual(breachedChecks({...validHistory, calls, disturbances: [{kind: 'stall', fromMs: 2, untilMs: 9}]}), []);
		assert.equal(breachedChecks({...validHistory, calls: [call({type: 'cut'})], disturbances: [{kind: 'stall', fromMs: 2, untilMs: 9}]}).length, 1);
	});

	it('should compare arrivals, not runs, with the requests of nearby windows', () => {
		const calls = Array.from({length: 500}, (_, index) => call({type: 'cut'}, {id: `c${index}`, sentAtMs: index}));
		const arrivals = (count: number, atMs: number) => Array.from({length: count + 1}, () => ({id: 'c0', upstream: 'u0', atMs}));
		const history = {...validHistory, calls, runs: []};
		// A fifth of 500 requests, plus the slack.
		assert.deepEqual(breachedChecks({...history, arrivals: arrivals(112, 600)}), []);
		assert.equal(breachedChecks({...history, arrivals: arrivals(113, 600)}).length, 1);
		assert.equal(breachedChecks({...history, arrivals: arrivals(112, 40_000)}).length, 1);
	});

	it('should check a limit on all instances except those that were restarted', () => {
		const {limits} = breachingHistories['an upstream that advertises a rate limit gets no more from all instances together']!;
		const runs = Array.from({length: 20}, (_, index) => run('u0', 4000 + index, `b${index}`));
		const calls = runs.map(({id, atMs}) => call({type: 'cut'}, {id, sentAtMs: atMs, endedAtMs: atMs}));
		const restartOf = (instance: string) => [{
			kind: 'restart' as const, instance, fromMs: 3000, untilMs: 3500,
		}];
		const history = (instance: string) => ({
			...validHistory, limits: limits!, runs, calls: calls.map(each => ({
				...each, end: {
					type: 'answered' as const, status: 504, requestId: each.id, signature: '', body: '',
				},
			})), disturbances: restartOf(instance),
		});
		assert.deepEqual(breachedChecks(history('127.0.0.2')), []);
		assert.equal(breachedChecks(history('127.0.0.3')).length, 1);
	});

	it('should not hold a restarted instance to advisories that it received before the restart', () => {
		const disturbances = [{
			kind: 'restart' as const, instance: '127.0.0.2', fromMs: 500, untilMs: 900,
		}];
		for (const name of Object.keys(breachingHistories).filter(each => each.includes('leaves') || each.includes('back off'))) {
			assert.deepEqual(breachedChecks({...validHistory, ...breachingHistories[name], disturbances}), []);
			assert.deepEqual(breachedChecks({...validHistory, ...breachingHistories[name], disturbances: [{...disturbances[0]!, instance: '127.0.0.3'}]}), [name]);
		}
	});

	it('should not check a drain on an instance that was paused meanwhile', () => {
		const disturbances = [{
			kind: 'instance' as const, instance: '127.0.0.2', fromMs: 100, untilMs: 2500,
		}];
		assert.deepEqual(breachedChecks({
			...validHistory, disturbances, drains: [{upstream: 'u0', atMs: 0}], runs: [run(), run('u0', 2600, 'b')], calls: [call(answered(200)), call(answered(504), {id: 'b'})],
		}), []);
	});
});
