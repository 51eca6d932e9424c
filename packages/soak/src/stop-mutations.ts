/** Intentionally broken builds that leave whole requests without an answer as they stop. */
import type {Mutation} from './mutations.js';
import type {ScheduledEvent, SoakEvent} from './schedule.js';

const calls = 'packages/gateway/dist/features/calls';
const signalMs = 500;
/** Longer than a grace period, so that upstreams do not answer before its end. */
const unansweredWorkMs = 5000;
const wholeRequestsAreAnswered = 'a request that was sent whole to a stopping instance is answered or refused, or its connection ends within 0.2 s';

const stopInUse = (instance: number, workMs: number): SoakEvent => ({
	type: 'stop-in-use',
	instance,
	signalMs,
	furtherSignals: [],
	callers: [
		{
			pace: 'ahead', startMs: 100, requestsAhead: 40, method: 'POST', workMs, paddingBytes: 0,
		},
		{
			pace: 'ahead', startMs: signalMs + 283, requestsAhead: 12, method: 'GET', workMs, paddingBytes: 0,
		},
		{
			pace: 'one-at-a-time', startMs: 100, requestsAhead: 1, method: 'GET', workMs: 0, paddingBytes: 0,
		},
	],
});

/** Upstreams answer some requests only after the grace period, and others within it. */
const stopsInUse: readonly ScheduledEvent[] = [{atMs: 500, event: stopInUse(0, unansweredWorkMs)}, {atMs: 1000, event: stopInUse(1, 300)}];

export const stopMutations: readonly Mutation[] = [
	{
		name: 'refusals-of-a-stopping-instance-dropped',
		file: `${calls}/request-handler.js`,
		find: 'this.#connections.respond(open, outcome);',
		replaceBy: 'if (outcome.reason !== \'leaving\') this.#connections.respond(open, outcome);',
		events: stopsInUse,
		noticedBy: wholeRequestsAreAnswered,
	},
	{
		name: 'requests-behind-others-dropped-by-a-stop',
		file: 'packages/core/dist/connections/request-sequence.js',
		find: 'this.#started.push(...waited);',
		replaceBy: '',
		events: stopsInUse,
		noticedBy: wholeRequestsAreAnswered,
	},
	{
		name: 'running-requests-without-an-answer-at-the-end-of-a-stop',
		file: `${calls}/request-handler.js`,
		find: 'open.run?.expire();',
		replaceBy: '',
		events: stopsInUse,
		noticedBy: wholeRequestsAreAnswered,
	},
	{
		name: 'answers-behind-others-dropped-while-stopping',
		file: `${calls}/caller-connection.js`,
		find: 'this.#ready.set(open, { wantsClose, write });',
		replaceBy: 'if (this.#sequence.isFirst(open)) this.#ready.set(open, { wantsClose, write });',
		events: stopsInUse,
		noticedBy: wholeRequestsAreAnswered,
	},
];
