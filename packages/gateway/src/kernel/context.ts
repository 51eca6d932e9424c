/** The environment of all tasks. */
import type {Clock, IncarnationId, RandomSource} from '@cairnbank/core';
import type {AnswerMemory, CallerMemory, MachineLimits} from '@cairnbank/core/connections';
import type {Logger} from '../logging/create-logger.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Settings} from '../settings/settings.js';
import type {AnswerReading} from './answer-reading.js';
import type {StopDeadline} from './stop-deadline.js';

export type Context = {
	/** Replaced by a reload, except for values that are bound to sockets; those change only with a restart. */
	settings: Settings;
	readonly incarnation: IncarnationId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly stop: StopDeadline;
	/** Bounds what the answers of upstreams take until their callers have read them. */
	readonly answerMemory: AnswerMemory<AnswerReading>;
	/** Bounds what callers make the instance hold. */
	readonly callerMemory: CallerMemory;
	/** Bounds that follow from the machine. */
	readonly machineLimits: MachineLimits;
};
