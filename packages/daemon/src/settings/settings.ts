/** Schema of all settings of a daemon. The sections define the defaults next to their fields. */
import {availabilityZoneIdSchema, instanceIdSchema} from '@cairnbank/core';
import {z} from 'zod';
import {addressSettingsSchema} from './address-settings.js';
import {atMostOnceSettingsSchema} from './at-most-once-settings.js';
import {callSettingsSchema} from './call-settings.js';
import {instanceListSettingsSchema} from './instance-list-settings.js';
import {listenAddressSchema} from './listen-address.js';
import {logSettingsSchema} from './log-settings.js';
import {loggingSettingsSchema} from './logging-settings.js';
import {membershipSettingsSchema} from './membership-settings.js';
import {secretsSchema} from './secrets.js';
import {stoppingSettingsSchema} from './stopping-settings.js';
import {tracingSettingsSchema} from './tracing-settings.js';
import {upstreamSettingsSchema} from './upstream-settings.js';

export const settingsSchema = z.strictObject({
	instanceId: instanceIdSchema,
	availabilityZone: availabilityZoneIdSchema,
	/** Listener for callers, which serves calls, address answers and tickets. */
	callers: listenAddressSchema,
	/** Listener for the other daemons. */
	peers: listenAddressSchema,
	/** Listener for operators and the metrics collector. It should only be reachable from their network. */
	admin: listenAddressSchema,
	log: logSettingsSchema,
	instanceList: instanceListSettingsSchema,
	/** Secrets that daemons accept from each other. */
	peerSecrets: secretsSchema,
	/** Secrets that are accepted from operators. */
	operatorSecrets: secretsSchema,
	membership: membershipSettingsSchema.prefault({}),
	addresses: addressSettingsSchema.prefault({}),
	calls: callSettingsSchema.prefault({}),
	atMostOnce: atMostOnceSettingsSchema.prefault({}),
	upstreams: upstreamSettingsSchema.prefault({}),
	stopping: stoppingSettingsSchema.prefault({}),
	tracing: tracingSettingsSchema.prefault({}),
	logging: loggingSettingsSchema.prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;

/** Settings as written in JSON, before defaults are filled in. */
export type SettingsInput = z.input<typeof settingsSchema>;
