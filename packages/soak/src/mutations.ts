/** Intentionally broken builds. Each breaks one guarantee, and one check of the soak has to notice it. */
import {requestOfLeavingCallers, requestThatFails} from './crashing-upstreams.js';
import type {FleetSetting, ScheduledEvent, SoakEvent} from './schedule.js';

export type Mutation = {
	readonly name: string;
	/** Path of a compiled file, relative to the root of the repository. */
	readonly file: string;
	/** Code that occurs exactly once in the file. */
	readonly find: string;
	readonly replaceBy: string;
	readonly events: readonly ScheduledEvent[];
	/** True if some requests take up to seconds; false if absent. */
	readonly hasLongRequests?: boolean;
	readonly fleet?: FleetSetting;
	/** Name of the check that has to notice the mutation. */
	readonly noticedBy: string;
};

const core = 'packages/core/dist';
const gateway = 'packages/gateway/dist';
const calls = `${gateway}/features/calls`;
const availability = `${core}/advisories/availability.js`;
const advisoryRecord = `${core}/advisories/advisory-record.js`;
const firstEventMs = 500;
const faultDurationMs = 8000;
const entryAfterMs = 20_000;

const at = (event: SoakEvent, atMs = firstEventMs): ScheduledEvent => ({atMs, event});

const misbehave = (behaviour: Extract<SoakEvent, {readonly type: 'misbehave'}>['behaviour'], ...upstreams: readonly number[]): readonly ScheduledEvent[] =>
	upstreams.map(upstream => at({
		type: 'misbehave', upstream, behaviour, forMs: faultDurationMs,
	}, 2 * firstEventMs));

const allUpstreams = [0, 1, 2, 3, 4];

/** Makes all other upstreams shed requests, so that every instance that may still use upstream 2 does. */
const directTrafficToUpstream2 = (event: SoakEvent): readonly ScheduledEvent[] => [at(event), ...misbehave('sheds', ...allUpstreams.filter(upstream => upstream !== 2))];

/** Limits all upstreams, so that every request has to go to a limited one. */
const limitAllUpstreams = (requestsPerSecond: number): readonly ScheduledEvent[] => allUpstreams.map(upstream => at({
	type: 'limit', upstream, requestsPerSecond, forMs: faultDurationMs,
}));

/** Sends SIGTERM to the instances while requests are in flight to upstreams that never answer them. */
const stopsWithRequestsInFlight: readonly ScheduledEvent[] = [
	at({type: 'outage', behaviour: 'answers-another', forMs: 1500}),
	...[0, 1, 2].map(instance => at({type: 'stop', instance}, 2 * firstEventMs)),
];

/** Instances stop one after the other under requests that take up to seconds. */
const stopsUnderLongRequests: readonly ScheduledEvent[] = [0, 1, 2].map(instance => at({type: 'stop', instance}, (1 + (5 * instance)) * firstEventMs));

/** All upstreams send a part of another answer shortly after every second one. */
const partsAfterAnswers: readonly ScheduledEvent[] = allUpstreams.map(upstream => at({
	type: 'spoil', upstream, spoiling: 'later', oneIn: 2, forMs: faultDurationMs,
}));

/** Instances start again after a request has crashed upstreams, and get it when they have been back for long. */
const crashesAroundRestarts: readonly ScheduledEvent[] = [
	at({type: 'crash', request: 0, forMs: 1500}),
	...[0, 1, 2].map(instance => at({type: 'kill', instance}, (6 + instance) * firstEventMs)),
	at({type: 'crash', request: 0, forMs: 4000}, 20 * firstEventMs),
];

/** A request crashes upstreams after each of its callers has left. */
const crashesAfterCallersLeft: readonly ScheduledEvent[] = [at({type: 'crash', request: requestOfLeavingCallers, forMs: faultDurationMs})];

/** Upstreams that a request crashes fail a part of its calls. */
const crashesBesideFailures: readonly ScheduledEvent[] = [at({type: 'crash', request: requestThatFails, forMs: faultDurationMs})];

/** Two of the three instances lose their links. */
const linksCut: readonly ScheduledEvent[] = [at({
	type: 'cut', instances: [0, 1], cut: {open: 'reset', opening: 'hang'}, forMs: faultDurationMs,
})];

/** Condition that holds only a fifth later than the time for which leaving upstreams may still get requests. */
const respectedLate = (since: string, now: string) => `${now} - (${since} ??= ${now}) > 2400`;

const leavingIsRespected = 'an upstream gets nothing new from an instance that has passed on that it leaves, after its time to drain';
const backOffIsRespected = 'an upstream that asks an instance to back off gets next to nothing from it in that time';
const drainIsRespected = 'a leaving upstream gets nothing new after its time to drain';
const atMostOnce = 'a request that is not idempotent runs at most once';
const notRunIsCorrect = 'a request reported as not run never runs';
const answersMatchRequests = 'a success is the whole answer of an upstream that ran this very request';
const retriesWithinBudget = 'repeats stay within the budget of all instances in each window';
const requestsAreNotCut = 'no request that ran is cut at an instance that was neither killed nor paused';
const crashesAreContained = 'a request that crashes upstreams reaches next to none once three have crashed';
const harmlessIsServed = 'a harmless request is served beside one that crashes upstreams, once that one is refused';
const linklessServe = 'instances without links to upstreams serve callers through others';
const limitIsRespected = 'an upstream that advertises a rate limit gets no more from all instances together';

export const mutations: readonly Mutation[] = [
	{
		name: 'leaving-ignored',
		file: availability,
		find: 'case \'available\': {',
		replaceBy: 'case \'available\': case \'leaving\': {',
		events: directTrafficToUpstream2({type: 'leave', upstream: 2, entryAfterMs}),
		noticedBy: leavingIsRespected,
	},
	{
		name: 'leaving-heeded-a-fifth-late',
		file: advisoryRecord,
		find: 'if (this.#isLeaving) {',
		replaceBy: `if (this.#isLeaving && ${respectedLate('this.leavingSinceMs', 'this.#clock.monotonicMs()')}) {`,
		events: directTrafficToUpstream2({type: 'leave', upstream: 2, entryAfterMs}),
		noticedBy: leavingIsRespected,
	},
	{
		name: 'back-off-ignored',
		file: availability,
		find: 'case \'available\': {',
		replaceBy: 'case \'available\': case \'backing-off\': {',
		events: directTrafficToUpstream2({
			type: 'back-off', upstream: 2, seconds: 6, forMs: firstEventMs,
		}),
		noticedBy: backOffIsRespected,
	},
	{
		name: 'back-off-ended-a-fifth-early',
		file: advisoryRecord,
		find: 'Math.min(advisory.durationMs, maximumBackOffMs)',
		replaceBy: 'Math.min(0.8 * advisory.durationMs, maximumBackOffMs)',
		events: directTrafficToUpstream2({
			type: 'back-off', upstream: 2, seconds: 6, forMs: firstEventMs,
		}),
		noticedBy: backOffIsRespected,
	},
	{
		name: 'limit-ignored',
		file: `${core}/limits/fleet-pace.js`,
		find: 'return isUser && nowMs - usedAtMs >= pauseMs(upstream, users);',
		replaceBy: 'return true;',
		events: limitAllUpstreams(1),
		noticedBy: limitIsRespected,
	},
	{
		name: 'limit-kept-by-each-instance-alone',
		file: `${gateway}/wire.js`,
		find: 'others: () => fleet.others(),',
		replaceBy: 'others: () => [],',
		events: limitAllUpstreams(2),
		noticedBy: limitIsRespected,
	},
	{
		name: 'limit-exceeded-by-a-fifth',
		file: `${core}/limits/fleet-pace.js`,
		find: 'return millisecondsPerSecond / perUser;',
		replaceBy: 'return millisecondsPerSecond / (perUser * 2.55);',
		events: limitAllUpstreams(2),
		noticedBy: limitIsRespected,
	},
	{
		name: 'drain-ignored',
		file: `${gateway}/features/upstreams/upstreams-task.js`,
		find: ' && !upstream.registered.draining',
		replaceBy: '',
		events: directTrafficToUpstream2({type: 'drain', upstream: 2}),
		noticedBy: drainIsRespected,
	},
	{
		name: 'drain-heeded-a-fifth-late',
		file: `${gateway}/features/upstreams/upstreams-task.js`,
		find: ' && !upstream.registered.draining',
		replaceBy: ` && !(upstream.registered.draining && ${respectedLate('upstream.drainingSinceMs', 'performance.now()')})`,
		events: directTrafficToUpstream2({type: 'drain', upstream: 2}),
		noticedBy: drainIsRespected,
	},
	{
		name: 'payments-repeated',
		file: `${calls}/call-run.js`,
		find: 'verdict.type === \'not-run\' || this.#call.route.idempotent;',
		replaceBy: 'true;',
		events: misbehave('loses-answer', ...allUpstreams),
		noticedBy: atMostOnce,
	},
	{
		name: 'lost-answer-taken-for-not-run',
		file: `${calls}/judge-exchange.js`,
		find: 'return { type: \'unknown\', reason: failure.type };',
		replaceBy: 'return { type: \'not-run\', reason: \'refused-by-upstreams\' };',
		events: misbehave('loses-answer', ...allUpstreams),
		noticedBy: atMostOnce,
	},
	{
		name: 'lost-answer-reported-as-not-run',
		file: `${calls}/attempt-summary.js`,
		find: 'if (this.#mayHaveRun === undefined) {',
		replaceBy: 'if (true) {',
		events: misbehave('loses-answer', ...allUpstreams),
		noticedBy: notRunIsCorrect,
	},
	{
		name: 'answer-of-another-request-passed-on',
		file: `${gateway}/features/upstreams/match-answer.js`,
		find: '(answeredId !== undefined && answeredId !== request.requestId)',
		replaceBy: 'false',
		events: misbehave('answers-another', ...allUpstreams),
		noticedBy: answersMatchRequests,
	},
	{
		name: 'unsigned-answer-passed-on',
		file: `${calls}/judge-exchange.js`,
		find: 'headerOf(headers, dialect.signatureHeader) !== undefined;',
		replaceBy: 'true;',
		events: misbehave('unsigned', ...allUpstreams),
		noticedBy: answersMatchRequests,
	},
	{
		name: 'attempts-unbounded',
		file: `${calls}/call-run.js`,
		find: 'this.#attempts.sent < this.#call.route.maximumAttempts;',
		replaceBy: 'true;',
		events: misbehave('fails', ...allUpstreams),
		noticedBy: 'a request runs on no more upstreams than its route allows',
	},
	{
		name: 'budget-unbounded',
		file: `${core}/retries/window-budget.js`,
		find: 'if (this.remaining(nowMs, share) < 1) {',
		replaceBy: 'if (false) {',
		events: misbehave('fails', ...allUpstreams),
		noticedBy: retriesWithinBudget,
	},
	{
		name: 'budget-exceeded-by-a-fifth',
		file: `${core}/retries/window-budget.js`,
		find: 'const grantedShare = 0.9;',
		replaceBy: 'const grantedShare = 1.2;',
		events: misbehave('sheds', ...allUpstreams),
		noticedBy: retriesWithinBudget,
	},
	{
		name: 'repeat-not-counted',
		file: `${core}/retries/window-budget.js`,
		find: 'this.#endedAtMs.push(endedAtMs);',
		replaceBy: '',
		events: misbehave('sheds', ...allUpstreams),
		noticedBy: retriesWithinBudget,
	},
	{
		name: 'repeat-taken-for-unsent',
		file: `${calls}/call-run.js`,
		find: 'if (this.#attempts.sent > 0) {',
		replaceBy: 'if (false) {',
		events: misbehave('sheds', ...allUpstreams),
		noticedBy: retriesWithinBudget,
	},
	{
		name: 'stop-without-draining',
		file: `${gateway}/gateway.js`,
		find: 'await untilPart(acceptingRatio);',
		replaceBy: 'process.exit(0);',
		events: [0, 1, 2].map(instance => at({type: 'stop', instance}, 2 * firstEventMs)),
		noticedBy: requestsAreNotCut,
	},
	{
		name: 'stop-cuts-what-is-under-way',
		file: `${calls}/request-handler.js`,
		find: 'open.run?.expire();',
		replaceBy: '',
		events: stopsWithRequestsInFlight,
		noticedBy: requestsAreNotCut,
	},
	{
		name: 'running-attempt-taken-for-unsent',
		file: `${calls}/attempt-summary.js`,
		find: 'mayStillRun ? { type: \'timed-out\' } : this.outcome();',
		replaceBy: 'this.outcome();',
		events: stopsWithRequestsInFlight,
		noticedBy: notRunIsCorrect,
	},
	{
		name: 'stop-by-an-exception',
		file: `${gateway}/gateway.js`,
		find: 'logger.info(\'stopped\');',
		replaceBy: 'throw new Error(\'broken on purpose\');',
		events: [at({type: 'stop', instance: 1})],
		noticedBy: 'an instance that gets SIGTERM ends in order',
	},
	{
		name: 'stopping-instance-takes-all-requests',
		file: `${gateway}/kernel/stop-deadline.js`,
		find: 'return endAtMs <= this.#answerByMs;',
		replaceBy: 'return true;',
		events: stopsUnderLongRequests,
		hasLongRequests: true,
		noticedBy: 'a request that comes after SIGTERM is refused or gets the answer of its upstream',
	},
	{
		name: 'invalid-header-lines-skipped',
		file: `${gateway}/features/upstreams/strict-parser.js`,
		find: 'throw new Error(\'invalid header line\');',
		replaceBy: 'return;',
		events: partsAfterAnswers,
		noticedBy: notRunIsCorrect,
	},
	{
		name: 'restarted-instance-serves-nothing',
		file: `${gateway}/wire.js`,
		find: 'routes: () => state.routes,\n',
		replaceBy: 'routes: () => settings.isFirstStart ? state.routes : undefined,\n',
		events: [at({type: 'kill', instance: 1})],
		noticedBy: 'everything is served again after the last fault',
	},
	{
		name: 'crashes-not-handed-over',
		file: `${gateway}/features/fleet/suspect-exchange.js`,
		find: 'suspectsDigest !== digest()',
		replaceBy: 'false',
		events: crashesAroundRestarts,
		noticedBy: crashesAreContained,
	},
	{
		name: 'crashes-counted-by-address',
		file: `${calls}/suspect-request.js`,
		find: 'service: host, method, path: target,',
		replaceBy: 'service: host, method, path: target, tenant: arguments[0].caller,',
		events: crashesAroundRestarts,
		noticedBy: crashesAreContained,
	},
	{
		name: 'crashes-cleared-by-error-answers',
		file: `${calls}/poison-guard.js`,
		find: 'if (status >= firstErrorStatus) {',
		replaceBy: 'if (false) {',
		events: crashesBesideFailures,
		noticedBy: crashesAreContained,
	},
	{
		name: 'crashes-not-counted-once-callers-have-left',
		file: `${calls}/poison-guard.js`,
		find: 'this.#abandoned.record({',
		replaceBy: 'void ({',
		events: crashesAfterCallersLeft,
		noticedBy: crashesAreContained,
	},
	{
		name: 'all-requests-refused-beside-one-that-crashes-upstreams',
		file: `${core}/poison/crash-table.js`,
		find: 'if (record === undefined || record.crashes.length < crashesBeforeRefusal || isProven(record, build)) {',
		replaceBy: 'if (this.refusedCount > 0) return { type: \'refuse\', retryAfterMs: 1000 };\nif (record === undefined || record.crashes.length < crashesBeforeRefusal) {',
		events: crashesAroundRestarts,
		noticedBy: harmlessIsServed,
	},
	{
		name: 'requests-not-passed-on',
		file: `${gateway}/features/upstreams/link-monitor.js`,
		find: 'return this.#options.hasRelay(service);',
		replaceBy: 'return false;',
		events: linksCut,
		noticedBy: linklessServe,
	},
	{
		name: 'requests-passed-on-twice',
		file: `${gateway}/features/relay/relayed-request.js`,
		find: 'this.#recordAbandoned(result, channel);',
		replaceBy: 'if (this.#options.head.method === "POST") await this.#send(upstream.pool.open(), body);',
		events: linksCut,
		noticedBy: atMostOnce,
	},
];
