/** Defines the features of a daemon and the order in which they start. They stop in reverse order. */
import type {Task} from '../kernel/task.js';

export type FeatureName = 'admin' | 'configuration' | 'upstreams' | 'peers' | 'atMostOnce' | 'callers' | 'membership';

const startOrder: readonly FeatureName[] = ['admin', 'upstreams', 'peers', 'atMostOnce', 'callers', 'membership', 'configuration'];

export type Features = Readonly<Record<FeatureName, Task>>;

/** Returns the tasks in the order in which they start. */
export function tasksInStartOrder(features: Features): Task[] {
	return startOrder.map(name => features[name]);
}
