/** Intentionally broken builds that leave callers without the answers of what runs for them as an instance stops. */
import type {Mutation} from './mutations.js';
import type {FleetSetting, ScheduledEvent} from './schedule.js';

const calls = 'packages/gateway/dist/features/calls';
const stopsDeliverWholeAnswers = 'a request that runs gets the whole answer of its upstream, though its instance stops';

/** All instances stop one after the other under requests that take up to seconds. */
const plannedStops: readonly ScheduledEvent[] = [0, 1, 2].map(instance => ({
	atMs: 500 + (2500 * instance), event: {type: 'planned-stop', instances: [instance], furtherSignals: []},
}));

/** Callers are far away, and lose what is on its way as the process of their instance ends. */
const farCallers: FleetSetting = {
	graceSeconds: 4,
	callerLinks: {delayMs: 80, bufferBytes: 16_384, endsWithProcess: true},
	fleetCallers: Array.from({length: 18}, (_, index) => ({
		connections: index % 2 === 0 ? 'kept' : 'new', method: index % 3 === 0 ? 'POST' : 'GET', keepsAddresses: 3, deadlineMs: 1500, pauseMs: 100,
	})),
};

export const deliveryMutations: readonly Mutation[] = [
	{
		name: 'exit-at-once-on-sigterm',
		file: 'platform/dist/main.js',
		find: 'await gateway.stop();',
		replaceBy: '',
		events: plannedStops,
		hasLongRequests: true,
		noticedBy: stopsDeliverWholeAnswers,
	},
	{
		name: 'own-answers-in-place-of-those-in-the-works-on-sigterm',
		file: 'packages/gateway/dist/gateway.js',
		find: 'this.#forEachTask(task => task.leave?.());',
		replaceBy: 'this.#forEachTask(task => { task.leave?.(); task.expire?.(); });',
		events: plannedStops,
		hasLongRequests: true,
		noticedBy: stopsDeliverWholeAnswers,
	},
	{
		name: 'answers-count-as-delivered-when-written',
		file: `${calls}/caller-connections.js`,
		find: 'connection.answer(open, () => endsBehind || this.#options.isLeaving(), isLast => {',
		replaceBy: 'connection.answer(open, () => endsBehind || this.#options.isLeaving(), isLast => { if (isLast) this.#sockets.delete(open.request.socket);',
		events: plannedStops,
		fleet: farCallers,
		noticedBy: stopsDeliverWholeAnswers,
	},
	{
		name: 'connections-reset-behind-their-last-answers',
		file: `${calls}/caller-connection.js`,
		find: 'this.#gracefulClose.begin();',
		replaceBy: 'socket.resetAndDestroy();',
		events: plannedStops,
		fleet: farCallers,
		noticedBy: stopsDeliverWholeAnswers,
	},
];
