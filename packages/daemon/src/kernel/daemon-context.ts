/** Dependencies and settings that every feature of the daemon receives. */
import type {Clock, IncarnationId, RandomSource} from '@cairnbank/core';
import type {Registry} from 'prom-client';
import type {Logger} from '../logging/create-logger.js';
import type {Settings} from '../settings/settings.js';
import type {Tracing} from '../tracing/create-tracing.js';
import type {MessageBus} from './message-bus.js';

export type DaemonContext = {
	readonly settings: Settings;
	readonly incarnation: IncarnationId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly bus: MessageBus;
	readonly logger: Logger;
	readonly metrics: Registry;
	readonly tracing: Tracing;
};
