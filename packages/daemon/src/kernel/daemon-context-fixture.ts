/** Creates a daemon context for specs, with ephemeral ports, a silent logger and a fixed random seed. */
import {createRandomSource, incarnationIdSchema, systemClock} from '@cairnbank/core';
import {Registry} from 'prom-client';
import {createLogger} from '../logging/create-logger.js';
import {settingsSchema, type SettingsInput} from '../settings/settings.js';
import {createTracing} from '../tracing/create-tracing.js';
import type {DaemonContext} from './daemon-context.js';
import {MessageBus} from './message-bus.js';

const unusedUrl = 'http://127.0.0.1:9';

export type ContextFixtureOptions = {
	readonly incarnation?: string;
	readonly settings?: Partial<SettingsInput>;
};

export function createContextFixture({incarnation = 'spec', settings = {}}: ContextFixtureOptions = {}): DaemonContext {
	const parsed = settingsSchema.parse({
		instanceId: `entry-${incarnation}`,
		availabilityZone: 'nasr',
		callers: {port: 0},
		peers: {port: 0},
		admin: {port: 0},
		log: {url: unusedUrl},
		instanceList: {url: unusedUrl},
		peerSecrets: ['a-peer-secret-for-specs'],
		operatorSecrets: ['an-operator-secret-for-specs'],
		...settings,
	});
	return {
		settings: parsed,
		incarnation: incarnationIdSchema.parse(incarnation),
		clock: systemClock,
		random: createRandomSource(incarnation.length),
		bus: new MessageBus(),
		logger: createLogger({level: 'fatal', instance: parsed.instanceId, write: () => undefined}),
		metrics: new Registry(),
		tracing: createTracing(parsed),
	};
}
