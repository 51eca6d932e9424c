/** The features of a daemon and the order in which they start; they stop in the reverse order. */
import type {Task} from '../kernel/task.js';

export type FeatureName = 'admin' | 'configuration' | 'upstreams' | 'peers' | 'atMostOnce' | 'callers' | 'membership';

const startOrder: readonly FeatureName[] = ['admin', 'upstreams', 'peers', 'atMostOnce', 'callers', 'membership', 'configuration'];

export type Features = Readonly<Record<FeatureName, Task>>;

/** The tasks in the order of their start. */
export function tasksInStartOrder(features: Features): Task[] {
	return startOrder.map(name => features[name]);
}
