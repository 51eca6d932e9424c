/** Intentionally broken builds that leave callers without the answers of what runs for them as an instance stops. */
import type {Mutation} from './mutations.js';
import type {ScheduledEvent} from './schedule.js';

const stopsDeliverWholeAnswers = 'a request that runs gets the whole answer of its upstream, though its instance stops';

/** All instances stop one after the other under requests that take up to seconds. */
const plannedStops: readonly ScheduledEvent[] = [0, 1, 2].map(instance => ({
	atMs: 500 + (2500 * instance), event: {type: 'planned-stop', instances: [instance], furtherSignals: []},
}));

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
];
