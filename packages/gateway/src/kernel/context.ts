/** What every task is given. */
import type {Clock, IncarnationId, RandomSource} from '@cairnbank/core';
import type {Logger} from '../logging/create-logger.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Settings} from '../settings/settings.js';

export type Context = {
	/** Replaced by a reload; what is bound to sockets keeps its first value until a restart. */
	settings: Settings;
	readonly incarnation: IncarnationId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
